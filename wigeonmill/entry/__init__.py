"""The entry role: callers' HTTP interface and routing."""
