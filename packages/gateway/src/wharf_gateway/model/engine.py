"""Capacity of a service's model engines."""

from dataclasses import dataclass

__all__ = ["Engine"]


@dataclass(frozen=True, slots=True)
class Engine:
    """Concurrent requests and prompt cache, in tokens, of one upstream."""

    slots: int
    cache_tokens: int
