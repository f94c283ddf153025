"""The interface to the platform, its adapters and clients."""
