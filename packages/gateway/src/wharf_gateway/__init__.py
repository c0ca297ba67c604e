"""The serving path for HTTP requests that pass through to upstreams unchanged."""

__all__ = []
