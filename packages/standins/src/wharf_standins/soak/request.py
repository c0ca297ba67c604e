"""A request as recorded by its client and by the upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["SoakRequest", "RequestKind", "ResponseState"]


class RequestKind(StrEnum):
    """Which requests may be repeated: only safe ones."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ResponseState(StrEnum):
    """How far the client received the response."""

    COMPLETE = "whole"
    TRUNCATED = "cut"
    NOT_CONNECTED = "unconnected"
    PENDING = "waiting"


@dataclass(slots=True)
class SoakRequest:
    """A request, its response and its runs on upstreams; times in seconds.

    `run_times` are the times at which upstreams began to run it,
    `runs_after_draining` counts the runs on upstreams that had finished draining.
    `is_undisturbed` says that no unplanned fault had effect from before it was
    sent until its end.
    """

    id: str
    kind: RequestKind
    gateway: str
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    body: bytes = b""
    is_signed: bool = False
    state: ResponseState = ResponseState.PENDING
    run_times: list[float] = field(default_factory=list)
    runs_after_draining: int = 0
    is_undisturbed: bool = False
