"""What happened to a request, across processes."""

from dataclasses import dataclass
from datetime import timedelta

from wharf_control.log_event import LogEvent

__all__ = ["Moment", "timeline"]

# What a process believes, and what it goes through, as the reason of what it did.
BELIEFS = frozenset(
    (
        *("configuration", "data_centres_out", "rollout", "rollout_written"),
        *("store_lost", "store_regained", "store_history_gone"),
        *("peer", "peer_linked", "peer_lost", "preparer_candidates"),
        *("started", "stopping", "stopped", "reload"),
    )
)


@dataclass(frozen=True, slots=True)
class Moment:
    """An event of a process; `is_own` says that it names the request."""

    process: str
    event: LogEvent
    is_own: bool


def timeline(logs, request, around=0.0):
    """Return the moments of a request in the order of their time stamps.

    With `around`, in seconds, beliefs of the processes that took part and news of
    the upstreams that are named are added, from that long before its first line until
    that long after its last.
    """
    own = [
        Moment(log.process, event, is_own=True)
        for log in logs
        for event in log.events
        if event.concerns(request)
    ]
    moments = own + (_context(logs, own, timedelta(seconds=around)) if around else [])
    return sorted(moments, key=lambda moment: moment.event.timestamp)


def _context(logs, own, around):
    if not own:
        return []
    first = min(moment.event.timestamp for moment in own) - around
    last = max(moment.event.timestamp for moment in own) + around
    processes = {moment.process for moment in own}
    own_events = {id(moment.event) for moment in own}
    upstreams = set().union(*(moment.event.upstreams for moment in own))
    return [
        Moment(log.process, event, is_own=False)
        for log in logs
        if log.process in processes
        for event in log.events
        if first <= event.timestamp <= last
        and id(event) not in own_events
        and event.request is None
        and (event.event in BELIEFS or event.upstreams & upstreams)
    ]
