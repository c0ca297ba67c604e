"""Checks of the gateways' guarantees, on requests recorded at both ends."""

from wharf_standins.soak.finding import Finding
from wharf_standins.soak.request import NOT_RUN_STATUSES, RequestKind, ResponseState
from wharf_standins.soak.wire import EVENTS, event, response_body

__all__ = ["check_requests"]

SLACK_SECONDS = 0.2  # tolerance of the operators' rule on lost requests


def check_requests(requests):
    """Return a finding for each guarantee that a request violates."""
    return [finding for request in requests for finding in _check(request)]


def _check(request):
    if request.kind is not RequestKind.SAFE and len(request.run_times) > 1:
        yield Finding("runs once", request.id, f"ran {len(request.run_times)} times")
    if (
        request.status in NOT_RUN_STATUSES
        and request.run_times
        and request.kind is not RequestKind.SAFE
    ):
        yield Finding(
            "not run is true", request.id, f"{request.status} although it ran"
        )
    if request.runs_after_draining:
        yield Finding(
            "leaving upstreams",
            request.id,
            "ran on an upstream that had finished draining",
        )
    if request.status == 200:
        yield from _check_success(request)
    if request.is_undisturbed and _is_lost(request):
        yield Finding("planned work cuts nothing", request.id, _loss(request))


def _loss(request):
    waited = ""
    if request.ended_at is not None:
        waited = f" after {request.ended_at - request.sent_at:.2f} s"
    return (
        f"response of {request.gateway} is {request.state}{waited},"
        f" status {request.status}, ran {len(request.run_times)} times"
    )


def _is_lost(request):
    """Return whether the gateway read a request and sent no complete response.

    A request that arrives as the gateway closes the connection isn't read. Such a
    request is recognised by two signs: it didn't run, and it failed within
    `SLACK_SECONDS`.
    """
    if request.state in (ResponseState.COMPLETE, ResponseState.NOT_CONNECTED):
        return False
    is_late = (
        request.ended_at is None or request.ended_at - request.sent_at > SLACK_SECONDS
    )
    return bool(request.run_times) or is_late


def _check_success(request):
    if not request.is_signed:
        yield Finding("own whole answer", request.id, "has no signature")
    expected = response_body(request.id)
    if request.kind.is_stream:
        expected = b"".join(event(request.id, number) for number in range(EVENTS))
    if not expected.startswith(request.body):
        yield Finding("own whole answer", request.id, f"got {request.body[:40]!r}")
    elif request.state is ResponseState.COMPLETE and request.body != expected:
        detail = f"{len(request.body)} of {len(expected)} bytes sent as complete"
        yield Finding("own whole answer", request.id, detail)
