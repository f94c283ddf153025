"""The interface to the platform and its adapters."""
