"""The one promise: a request that was read whole is answered, refused or excused."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from wharf_standins.promise.play_upstream import EVENTS, event, response_body

__all__ = ["Fault", "Finding", "faults"]

SLACK_SECONDS = 0.1  # between the last byte of a request and its read
LATE_SECONDS = 0.5  # after a deadline, until an answer is late
MAX_READ_AHEAD = 2  # requests that a gateway reads while it answers another
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Fault(StrEnum):
    """How the promise was broken."""

    LOST = "lost"
    CUT = "cut"
    LATE = "late"
    OPEN = "open"
    UNTRUE = "untrue_refusal"
    REPEATED = "repeated"
    WRONG = "wrong_answer"
    FAILED = "internal_error"
    RAISED = "unhandled_exception"


@dataclass(frozen=True, slots=True)
class Finding:
    """A broken promise; `detail` is a `PlayRequest` or what was raised."""

    fault: Fault
    detail: Any


def faults(request, before, timeout, paused_seconds, may_be_cut=False):
    """Return the faults in the way a request ended.

    `before` is the request before it on its connection, or None. `timeout` is the
    shortest time-out of its route; its gateway or its caller was paused for
    `paused_seconds` meanwhile. `may_be_cut` says that its connection had to end.
    """
    found = []
    if request.sent_at is not None and not request.has_left:
        fault = _ending(request, before, timeout, paused_seconds)
        is_cut = fault in (Fault.LOST, Fault.CUT)
        found += [fault] if fault and not (is_cut and may_be_cut) else []
    if len(request.runs) > 1 and not request.kind.may_repeat:
        found.append(Fault.REPEATED)
    if request.runs and not request.kind.may_repeat and request.is_complete:
        found += [Fault.UNTRUE] if request.status in NOT_RUN_STATUSES else []
    return found


def _ending(request, before, timeout, paused_seconds):
    if request.ended_at is None:
        return Fault.OPEN
    due = min(request.seconds, timeout)
    spent = request.ended_at - request.head_at
    if request.is_complete:
        if request.status == 500:
            return Fault.FAILED
        if request.status == 200 and request.body != _whole_body(request):
            return Fault.WRONG
        due_at = request.head_at + request.seconds
        turn_at = before.ended_at if before else 0.0
        if request.ahead >= MAX_READ_AHEAD:
            turn_at += request.seconds  # it isn't read before its turn
        latest = max(due_at, request.sent_at, turn_at)
        is_late = request.ended_at > latest + LATE_SECONDS + paused_seconds
        return Fault.LATE if is_late else None
    if spent >= due - 0.05:
        return None
    if before is not None and not before.is_complete:
        return None  # its connection was reset with the response before
    is_sound = all(run.is_sound for run in request.runs)
    if request.status is not None:
        return Fault.CUT if is_sound else None
    if paused_seconds and not is_sound:
        return None  # a reset takes what its caller has not read
    if _was_read(request) or request.runs:
        return Fault.LOST
    return None


def _was_read(request):
    """Return whether the gateway has read the whole request before it was closing."""
    gateway_side = request.transport.peer
    read = gateway_side.taken
    if gateway_side.taken_before_last is not None:
        read = gateway_side.taken_before_last
    return read >= request.end_offset


def _whole_body(request):
    if request.kind.is_stream:
        numbers = range(1, EVENTS + 1)
        return b"".join(event(request.id, number) for number in numbers)
    return response_body(request.id)
