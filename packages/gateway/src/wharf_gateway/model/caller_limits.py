"""Limits on callers' requests."""

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on sizes, in bytes, and times, in seconds.

    The defaults, common for HTTP servers, apply until a configuration is known.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 30.0
