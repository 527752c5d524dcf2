"""The callers, records and report of the demonstration."""
