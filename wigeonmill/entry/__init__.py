"""The entry role: the HTTP interface for callers, and routing."""
