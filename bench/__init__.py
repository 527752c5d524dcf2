"""Benchmarks with bounds from the stated goals."""
