"""Decisions under load, apart from input and output."""
