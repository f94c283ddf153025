"""Versioned configuration: changes, commits and the daemon's copy."""
