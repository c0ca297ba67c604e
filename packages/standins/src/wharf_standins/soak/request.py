"""A request as recorded by its client and by the upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "DIRECT_KINDS",
    "NOT_RUN_STATUSES",
    "RequestKind",
    "ResponseState",
    "SoakRequest",
]

# These promise that the request hasn't run and won't run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class RequestKind(StrEnum):
    """Which requests may be repeated: only safe ones.

    Those with steps are streams whose engine needs the results of the steps.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    STEPS = "steps"

    @property
    def is_stream(self):
        """Return whether the response is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.STEPS)

    @property
    def deadline_seconds(self):
        """Return how long a client waits for the response."""
        return 8.0 if self is RequestKind.STEPS else 3.0


DIRECT_KINDS = tuple(kind for kind in RequestKind if kind is not RequestKind.STEPS)


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
    `is_undisturbed` says that no fault that excuses a loss had effect from before it
    was sent until its end. `feature` is the route or the key that it uses if it has to
    show which configuration is in force, `incarnation` counts its gateway's starts.
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
    feature: str | None = None
    incarnation: int = 0
