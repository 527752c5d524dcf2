"""Operators' forms as web pages."""
