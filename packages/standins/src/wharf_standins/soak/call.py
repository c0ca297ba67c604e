"""One request of a caller, as both ends saw it."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Call", "CallKind", "Ending"]


class CallKind(StrEnum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Ending(StrEnum):
    """How the caller's side ended."""

    WHOLE = "whole"
    CUT = "cut"
    UNCONNECTED = "unconnected"
    WAITING = "waiting"


@dataclass(slots=True)
class Call:
    """A request, its answer, and the upstreams that ran it; times in seconds.

    `runs` are the times at which upstreams began to run it. `is_calm` says that
    nothing but planned work went on from before it was sent until its end.
    """

    id: str
    kind: CallKind
    gateway: str
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    body: bytes = b""
    is_signed: bool = False
    ending: Ending = Ending.WAITING
    runs: list[float] = field(default_factory=list)
    late_runs: int = 0
    is_calm: bool = False
