"""The HTTP interface for operators and its client."""
