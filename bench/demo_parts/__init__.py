"""Parts of the demonstration: callers, their records, the report."""
