"""Which processes and targets are alive."""
