"""Choice of an upstream by the expected time to its response."""

from dataclasses import dataclass, replace
from math import exp
from statistics import median_high

from wharf_gateway.routing.balancing import DEFAULT_LATENCY_SECONDS, MAX_FAILURE_RATE
from wharf_gateway.routing.prompt_homes import home_ranks

__all__ = [
    "Estimate",
    "choose",
    "engine_estimates",
    "engine_spread",
    "plain_estimates",
    "plain_spread",
]

# How probable it is that the engines which gateways prefer for a part have it cached,
# where no send shows it: most while other gateways' sends aren't known.
HOME_CHANCES = (0.7, 0.25, 0.1)
SHARED_HOME_CHANCES = (0.1, 0.05, 0.0)
# Requests above an engine's slots wait for one of these to end.
FULL_SECONDS = 0.1
# Weights fall by e for each of these seconds of difference: late reports err by more.
SHARED_SPREAD_SECONDS = 0.04
SPREAD_PER_AGE = 0.15  # of the last digest
BLIND_SPREAD_SECONDS = 0.01
# A few slots take requests that were chosen alike; hosts differ by a factor of 2.4.
PLAIN_SPREAD_SHARE = 0.15
MIN_SPREAD_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class Estimate:
    """The expected time at one upstream, in seconds, and what it is made of.

    `wait` is the work ahead, `cost` includes the price of a crossing, `usual` is the
    time on a host of usual pace without the wait, and `read` its part to read the
    prompt. `age` is that of the last report of load or pace. `tokens` are the prompt
    tokens that are probably cached.
    """

    state: object
    seconds: float
    cost: float
    usual: float
    read: float = 0.0
    wait: float = 0.0
    pace: float = 1.0
    tokens: float = 0.0
    age: float = float("inf")

    def plus(self, seconds):
        """Return the estimate with a further cost, of a crossing."""
        return replace(self, cost=self.cost + seconds)


def engine_estimates(states, view, service, work, now):
    """Return the estimates of engines for a prompt; `service` has their settings."""
    is_shared = view.is_shared(now)
    chances = SHARED_HOME_CHANCES if is_shared else HOME_CHANCES
    scale = view.scale(service.name, now)
    known = [(state, view.view(state.upstream, _cache(service))) for state in states]
    paces = [engine.pace.at(now, scale) for _, engine in known]
    ranks = {}
    if len(work.parts) > 1:
        # Rounded and without noise, so that gateways agree on the homes of parts.
        weights = {
            state.upstream.id: 1.0 / (round(engine.pace.settled(scale) / scale, 1) or 1)
            for state, engine in known
        }
        ranks = home_ranks(work.parts[-2][0], weights, len(chances))
    shared = work.shared_tokens
    estimates = []
    for (state, engine), pace in zip(known, paces, strict=True):
        cached = engine.cache.cached_tokens(work.parts)
        rank = ranks.get(state.upstream.id)
        if rank is not None and cached < shared:
            cached += chances[rank] * (shared - cached)
        read = view.cost.read_seconds(max(0.0, work.total - cached), work.total)
        requests = max(state.load(now), engine.load.requests(now))
        wait = engine.load.wait(now)
        wait += max(0, requests + 1 - state.upstream.slots) * FULL_SECONDS
        write = view.cost.write_seconds(work.output_tokens, requests)
        own = read + write + view.cost.first_token_seconds
        seconds = (wait + pace * own) / max(0.05, 1 - state.failure_rate)
        age = now - max(engine.load.reported_at, engine.pace.reported_at)
        estimates.append(
            Estimate(state, seconds, seconds, own, read, wait, pace, cached, age)
        )
    return estimates


def plain_estimates(states, view, now):
    """Return the estimates of upstreams that aren't engines."""
    known = [(state, view.view(state.upstream)) for state in states]
    usual = _usual_latency(known)
    estimates = []
    for state, seen in known:
        is_reported = seen.pace.is_reported
        pace = seen.pace.at(now)
        latency = usual if is_reported else state.latency or usual
        requests = max(state.load(now), seen.load.requests(now))
        factor = 1 + requests / max(1, state.upstream.slots)
        seconds = latency * pace * factor / max(0.05, 1 - state.failure_rate)
        age = now - max(seen.load.reported_at, seen.pace.reported_at)
        estimates.append(
            Estimate(state, seconds, seconds, latency * factor, pace=pace, age=age)
        )
    return estimates


def engine_spread(known_at, now):
    """Return the spread in seconds for engines, with news up to `known_at` or None."""
    if known_at is None:
        return BLIND_SPREAD_SECONDS
    return SHARED_SPREAD_SECONDS + SPREAD_PER_AGE * max(0.0, now - known_at)


def plain_spread(estimates):
    """Return the spread in seconds for other upstreams, whose slots run in parallel."""
    least = min((estimate.cost for estimate in estimates), default=0.0)
    return max(PLAIN_SPREAD_SHARE * least, MIN_SPREAD_SECONDS)


def choose(estimates, *, spread, draw):
    """Return one of the best estimates, None if there are none.

    `draw` is a random number from 0 to 1. Gateways that see the same late report choose
    different upstreams: weights fall by e for each `spread` seconds of difference.
    """
    if not estimates:
        return None
    best = [
        e for e in estimates if e.state.failure_rate <= MAX_FAILURE_RATE
    ] or estimates
    least = min(estimate.cost for estimate in best)
    weights = [exp((least - estimate.cost) / spread) for estimate in best]
    left = draw * sum(weights)
    for estimate, weight in zip(best, weights, strict=True):
        left -= weight
        if left < 0:
            return estimate
    return best[-1]


def _cache(service):
    return service.engine.cache_tokens


def _usual_latency(known):
    """Return the typical latency at the usual pace."""
    latencies = [
        state.latency / (seen.pace.usual if seen.pace.is_reported else 1.0)
        for state, seen in known
        if state.latency is not None
    ]
    return median_high(latencies) if latencies else DEFAULT_LATENCY_SECONDS
