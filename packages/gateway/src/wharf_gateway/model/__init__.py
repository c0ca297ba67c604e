"""Types for routes, services, upstreams and requests."""
