"""Block keys, frames, tier plans, export policies and link budgets."""
