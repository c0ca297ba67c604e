"""Timeline of the log events of one request across processes."""

from dataclasses import dataclass
from datetime import timedelta

from wharf_control.log_event import LogEvent

__all__ = ["TimelineItem", "timeline"]

# Events on the state of a process, which may explain what it did with a request.
CONTEXT_EVENTS = frozenset(
    (
        *("configuration", "data_centres_out", "rollout", "rollout_written"),
        *("store_lost", "store_regained", "store_history_gone"),
        *("peer", "peer_linked", "peer_lost", "preparer_candidates"),
        *("started", "stopping", "stopped", "reload"),
    )
)


@dataclass(frozen=True, slots=True)
class TimelineItem:
    """An event of a process; `names_request` is false for context events."""

    process: str
    event: LogEvent
    names_request: bool


def timeline(logs, request, around=0.0):
    """Return the events of a request as items, sorted by timestamp.

    With `around` above 0, context events are added that were logged from `around`
    seconds before its first event until as long after its last: state events of the
    processes that logged it, and events on the upstreams that its events name. Events
    on the features for which it was refused are added from any time and process.
    """
    own = [
        TimelineItem(log.process, event, names_request=True)
        for log in logs
        for event in log.events
        if event.concerns(request)
    ]
    items = own + (_context(logs, own, timedelta(seconds=around)) if around else [])
    if around:
        items += _feature_context(logs, items)
    return sorted(items, key=lambda item: item.event.timestamp)


def _feature_context(logs, items):
    """Return the events on features for which a request was refused."""
    refusals = [item for item in items if item.event.event == "not_served"]
    features = set().union(*(item.event.features for item in refusals))
    last = max((item.event.timestamp for item in items), default=None)
    known = {id(item.event) for item in items}
    return [
        TimelineItem(log.process, event, names_request=False)
        for log in logs
        for event in log.events
        if event.features & features
        and event.timestamp <= last
        and id(event) not in known
        and event.event != "not_served"
    ]


def _context(logs, own, around):
    if not own:
        return []
    first = min(item.event.timestamp for item in own) - around
    last = max(item.event.timestamp for item in own) + around
    processes = {item.process for item in own}
    own_event_ids = {id(item.event) for item in own}
    upstreams = set().union(*(item.event.upstreams for item in own))
    return [
        TimelineItem(log.process, event, names_request=False)
        for log in logs
        if log.process in processes
        for event in log.events
        if first <= event.timestamp <= last
        and id(event) not in own_event_ids
        and event.request is None
        and (event.event in CONTEXT_EVENTS or event.upstreams & upstreams)
    ]
