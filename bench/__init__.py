"""Benchmarks: each prints one JSON line."""
