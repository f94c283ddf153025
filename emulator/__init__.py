"""Stand-ins for the platform, upstreams and callers; not part of the product."""
