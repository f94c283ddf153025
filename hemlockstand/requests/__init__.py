"""The path of a caller's request to an upstream."""
