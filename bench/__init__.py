"""Benchmarks whose figures are checked against the stated goals."""
