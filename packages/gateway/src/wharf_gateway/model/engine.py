"""What is known of a service's model engines."""

from dataclasses import dataclass

__all__ = ["Engine"]


@dataclass(frozen=True, slots=True)
class Engine:
    """Requests that run at a time and the prompt memory of one upstream, in tokens."""

    slots: int
    cache_tokens: int
