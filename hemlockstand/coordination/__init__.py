"""Coordination components that other programs can embed."""
