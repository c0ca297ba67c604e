"""A request of a play, as its caller and the upstreams saw it."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

__all__ = ["PlayRequest", "RequestKind", "Run"]


class RequestKind(StrEnum):
    """The routes that requests are sent to."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"
    STEPS = "steps"
    KEYED = "keyed"

    @property
    def is_stream(self):
        """Return whether the response is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE, RequestKind.STEPS)

    @property
    def may_repeat(self):
        """Return whether several upstreams may run a request."""
        kinds = (RequestKind.SAFE, RequestKind.KEYED, RequestKind.RESUMABLE)
        return self in kinds


@dataclass(slots=True, eq=False)
class Run:
    """A run of a request; `is_sound` until the upstream breaks it off."""

    upstream: str
    at: float
    is_sound: bool = True


@dataclass(slots=True, eq=False)
class PlayRequest:
    """A request; times are in seconds, None for what has not happened.

    `head_at` and `sent_at` are when the end of the head and of the whole request were
    sent, `end_offset` is where it ends in the bytes of its connection. `ended_at` is
    when the response was complete or the connection ended. `has_left` says that the
    caller closed the connection before that. `before` is the request before it on its
    connection, `ahead` the number of those that weren't answered as it was sent.
    """

    id: str
    kind: RequestKind
    seconds: float
    gateway: str = ""
    head_at: float | None = None
    sent_at: float | None = None
    end_offset: int = 0
    transport: Any = field(default=None, repr=False)
    before: Any = field(default=None, repr=False)
    ahead: int = 0
    status: int | None = None
    body: bytes = b""
    is_complete: bool = False
    ended_at: float | None = None
    has_left: bool = False
    runs: list[Run] = field(default_factory=list)
