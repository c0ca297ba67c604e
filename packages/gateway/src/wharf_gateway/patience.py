"""How long the silence of an upstream is borne."""

from wharf_gateway.model.route_kind import RouteKind

__all__ = ["caller_patience", "response_timeout", "stall_seconds"]

# A sound engine may fall silent for a second or so and go on. After this long another
# one takes over if it can.
STALL_TIMEOUT_SECONDS = 2.0
# Until then, or until this share of the time after which the caller gives up.
STALL_PATIENCE_SHARE = 0.5
# Callers give up a stream after a pause of this long, or longer by their route's times.
GIVE_UP_SECONDS = 2.0
# A long prompt that is queued behind others takes up to a second.
FIRST_EVENT_TIMEOUT_SECONDS = 1.5
# A safe request is retried on another upstream when the current one takes this many
# times its usual latency; one request in a hundred takes that long without a fault.
LATENCY_FACTOR = 5.0
MIN_TIMEOUT_SECONDS = 0.15


def caller_patience(route):
    """Return the pause of a stream after which its caller gives up, in seconds.

    This is the operators' rule.
    """
    return max(GIVE_UP_SECONDS, 4 * route.target_latency, 8 * route.max_event_gap)


def stall_seconds(route):
    """Return the seconds without an event after which a stream counts as stalled.

    One that may be resumed can go on at another upstream. Any other ends when its
    caller has given it up.
    """
    patience = caller_patience(route)
    if not route.is_resumable:
        return patience
    silence = min(STALL_TIMEOUT_SECONDS, STALL_PATIENCE_SHARE * patience)
    return max(silence, 2 * route.max_event_gap)


def response_timeout(route, latency):
    """Return the seconds without a response after which another upstream is tried.

    None means never. `latency` is the upstream's usual one, None if it is unknown.
    """
    if not route.may_repeat:
        return None
    if route.kind is RouteKind.STREAM:
        return FIRST_EVENT_TIMEOUT_SECONDS
    return max(LATENCY_FACTOR * (latency or route.target_latency), MIN_TIMEOUT_SECONDS)
