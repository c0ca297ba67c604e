"""Load balancing among the upstreams of one service."""

from wharf_coordination.rendezvous import ranked

__all__ = ["choose_by_prefix", "choose_by_latency", "eligible"]

# An engine with more failures is used only if no other one qualifies; the ordinary
# errors of a healthy service stay well below this rate.
MAX_FAILURE_RATE = 0.5
DEFAULT_LATENCY_SECONDS = 0.05  # assumed until an upstream's first response
# The engine that has the prompt cached is used while it has at most this many more
# requests than the least loaded one: processing a long prompt again costs about as
# much as a few running requests.
MAX_EXTRA_LOAD = 4


def eligible(states, excluded, now):
    """Return the states not in `excluded`, without those in backoff.

    If all are in backoff, all are returned.
    """
    candidates = [state for state in states if state.upstream.id not in excluded]
    available = [state for state in candidates if not state.in_backoff(now)]
    return available or candidates


def choose_by_latency(states, now, rng):
    """Return the state with the lowest expected time; break ties at random."""
    return min(
        states,
        key=lambda state: (_expected_seconds(state, now), rng.random()),
        default=None,
    )


def choose_by_prefix(states, prefix, now):
    """Return the state that likely has `prefix` cached and is not overloaded.

    `prefix` identifies the start of the prompt; equal prefixes go to the same engine
    as long as its load permits.
    """
    if not states:
        return None
    max_load = min(state.load(now) for state in states) + MAX_EXTRA_LOAD
    balanced = {
        state.upstream.id: state
        for state in states
        if state.load(now) <= max_load and state.failure_rate <= MAX_FAILURE_RATE
    } or {state.upstream.id: state for state in states}
    if not prefix:
        return min(balanced.values(), key=lambda state: state.load(now))
    return balanced[ranked(prefix, balanced)[0]]


def _expected_seconds(state, now):
    latency = state.latency or DEFAULT_LATENCY_SECONDS
    queue_factor = 1 + state.load(now) / max(1, state.upstream.slots)
    return latency * queue_factor / max(0.05, 1 - state.failure_rate)
