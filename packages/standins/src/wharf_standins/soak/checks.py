"""Checks of the pages' promises, from what callers and upstreams saw."""

from wharf_standins.soak.call import CallKind, Ending
from wharf_standins.soak.finding import Finding
from wharf_standins.soak.wire import EVENTS, answer_body, event

__all__ = ["broken_promises"]

SLACK_SECONDS = 0.2  # of the operators' rule on lost requests
NOT_RUN = (408, 421, 429, 503)  # these say that the request hasn't run and won't


def broken_promises(calls):
    """Return what is wrong with the calls of a run."""
    return [finding for call in calls for finding in _of(call)]


def _of(call):
    if call.kind is not CallKind.SAFE and len(call.runs) > 1:
        yield Finding("runs once", call.id, f"ran {len(call.runs)} times")
    if call.status in NOT_RUN and call.runs and call.kind is not CallKind.SAFE:
        yield Finding("not run is true", call.id, f"{call.status} though it ran")
    if call.late_runs:
        yield Finding("leaving upstreams", call.id, "reached one that had left")
    if call.status == 200:
        yield from _of_success(call)
    if call.is_calm and _is_lost(call):
        yield Finding("planned work cuts nothing", call.id, f"ended {call.ending}")


def _is_lost(call):
    """Return whether a request that was read has no answer.

    One that crosses the close of its connection wasn't read; from outside it is one
    that didn't run and was cut within the slack.
    """
    if call.ending in (Ending.WHOLE, Ending.UNCONNECTED):
        return False
    is_late = call.ended_at is None or call.ended_at - call.sent_at > SLACK_SECONDS
    return bool(call.runs) or is_late


def _of_success(call):
    if not call.is_signed:
        yield Finding("own whole answer", call.id, "it isn't signed")
    whole = answer_body(call.id)
    if call.kind is CallKind.STREAM:
        whole = b"".join(event(call.id, number) for number in range(EVENTS))
    if not whole.startswith(call.body):
        yield Finding("own whole answer", call.id, f"got {call.body[:40]!r}")
    elif call.ending is Ending.WHOLE and call.body != whole:
        detail = f"{len(call.body)} of {len(whole)} bytes look complete"
        yield Finding("own whole answer", call.id, detail)
