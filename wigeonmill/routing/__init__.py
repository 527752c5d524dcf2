"""Routing decisions, made without any I/O."""
