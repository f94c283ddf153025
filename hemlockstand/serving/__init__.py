"""Serving of clients within limits on memory, descriptors and time."""
