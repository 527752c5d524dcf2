"""Block keys, frames, tiers and link budgets."""
