"""Group membership: which processes and targets are alive."""
