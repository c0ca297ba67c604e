"""HTTP gateway that forwards requests to upstreams unchanged."""

__all__ = []
