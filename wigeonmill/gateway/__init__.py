"""Forwards callers' HTTP requests to targets by the operators' routes."""
