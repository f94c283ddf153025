"""Availability budgets, moves, maintenance waves and buffers."""
