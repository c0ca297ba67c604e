"""Checks of which configuration the gateways follow."""

from itertools import groupby
from operator import attrgetter

from wharf_standins.soak.finding import Finding

__all__ = ["check_configuration"]

# Bounds of the operators' rules on new versions, in seconds from the acknowledgement
# and from the moment at which a gateway showed that it has the version.
SPREAD_SECONDS = 2.0
REGRESS_SECONDS = 0.25
REGRESS_SLOWED_SECONDS = 8 * REGRESS_SECONDS
ANSWER_SLACK_SECONDS = 0.5  # after the route's time-out
ADMITTED = 200
NOT_KNOWN_STATUSES = (401, 404)


def check_configuration(requests, versions, is_in_touch, is_slowed):
    """Return a finding for each request that is handled by an outdated version.

    `is_in_touch(gateway, since, until)` returns whether the bound for new versions
    applies, and `is_slowed` likewise whether the longer bound does for going back.
    """
    shown = sorted(
        (request for request in requests if _shows_version(request)),
        key=attrgetter("gateway", "incarnation", "sent_at"),
    )
    findings = [
        finding
        for request in requests
        if request.ended_at is not None
        and is_in_touch(request.gateway, request.sent_at, request.ended_at)
        for finding in _check_bounds(request, versions)
    ]
    for _, group in groupby(shown, key=attrgetter("gateway", "incarnation")):
        findings.extend(_check_regress(list(group), versions, is_slowed))
    return findings


def _shows_version(request):
    is_known = request.status in (ADMITTED, *NOT_KNOWN_STATUSES)
    return request.feature is not None and request.ended_at is not None and is_known


def _check_bounds(request, versions):
    due = [v for v in versions if v.written_at <= request.sent_at - SPREAD_SECONDS]
    if not due:
        return
    if _shows_version(request) and not _may_follow(request, versions, due[-1]):
        yield Finding(
            "configuration in time", request.id, _detail(request, due[-1].number)
        )
    factor = max(v.timeout_factor for v in versions if v.number >= due[-1].number)
    seconds = factor * request.kind.deadline_seconds + ANSWER_SLACK_SECONDS
    if request.ended_at - request.sent_at > seconds:
        yield Finding(
            "answered by the time-out", request.id, f"no answer within {seconds:.2f} s"
        )


def _check_regress(requests, versions, is_slowed):
    """Check requests to one incarnation of a gateway, in the order of sending."""
    seen = [
        (min(request.run_times), version)
        for request in requests
        for version in versions
        if request.run_times and request.feature in version.added
    ]
    for request in requests:
        slowed = is_slowed(request.gateway, request.sent_at, request.ended_at)
        slack = REGRESS_SLOWED_SECONDS if slowed else REGRESS_SECONDS
        known = [v for at, v in seen if at < request.sent_at - slack]
        newest = max(known, key=attrgetter("number"), default=None)
        if newest is not None and not _may_follow(request, versions, newest):
            yield Finding(
                "configuration goes back", request.id, _detail(request, newest.number)
            )


def _may_follow(request, versions, oldest):
    """Return whether `oldest` or a later version handles the request as it was."""
    is_admitted = request.status == ADMITTED
    return any(
        (request.feature in version.features) == is_admitted
        for version in versions
        if version.number >= oldest.number and version.written_at <= request.ended_at
    )


def _detail(request, number):
    return (
        f"{request.gateway} answers {request.status} to {request.feature},"
        f" though version {number} is in force"
    )
