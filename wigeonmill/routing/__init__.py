"""Pure routing decisions."""
