"""Benchmarks; each prints its results as JSON lines."""
