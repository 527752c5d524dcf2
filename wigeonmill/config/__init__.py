"""The operators' configuration document."""
