"""Heartbeats and calls between daemons."""
