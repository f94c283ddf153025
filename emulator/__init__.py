"""Stand-ins for platform, upstreams and callers; not part of the product."""
