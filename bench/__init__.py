"""Benchmarks with bounds from the stated targets."""
