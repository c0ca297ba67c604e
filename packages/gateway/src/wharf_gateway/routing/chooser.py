"""Chooses the upstream of a request."""

from wharf_coordination.rendezvous import ranked

__all__ = ["choose_engine", "choose_plain", "usable"]

# A share of failures above this sets an upstream behind the others: plain errors of
# a sound service stay well below.
FAILING_SHARE = 0.5
DEFAULT_LATENCY_SECONDS = 0.05  # of an upstream that hasn't answered yet
# An engine keeps its prompts as long as its load is within this many requests of
# the least loaded: one long prompt costs about as much as a few running requests.
AFFINITY_SLACK = 4


def usable(states, excluded, now):
    """Return the states that may get a request; resting ones only if all rest."""
    candidates = [state for state in states if state.upstream.id not in excluded]
    awake = [state for state in candidates if not state.in_backoff(now)]
    return awake or candidates


def choose_plain(states, now, rng):
    """Return the state with the least expected time, ties broken by chance."""
    return min(
        states, key=lambda state: (_cost(state, now), rng.random()), default=None
    )


def choose_engine(states, prefix, now):
    """Return the state that likely holds `prefix` and isn't loaded too much."""
    if not states:
        return None
    bound = min(state.load(now) for state in states) + AFFINITY_SLACK
    fitting = {
        state.upstream.id: state
        for state in states
        if state.load(now) <= bound and state.failure_rate <= FAILING_SHARE
    } or {state.upstream.id: state for state in states}
    if not prefix:
        return min(fitting.values(), key=lambda state: state.load(now))
    return fitting[ranked(prefix, fitting)[0]]


def _cost(state, now):
    latency = state.latency or DEFAULT_LATENCY_SECONDS
    queueing = 1 + state.load(now) / max(1, state.upstream.slots)
    return latency * queueing / max(0.05, 1 - state.failure_rate)
