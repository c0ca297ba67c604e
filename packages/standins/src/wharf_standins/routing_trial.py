"""A trial of choices of engines in virtual time.

Engines read prompts one after the other and keep a cache of parts; N gateways choose
by what each of them has seen, and share it as late as the messages do.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from wharf_gateway.model.engine import Engine
from wharf_gateway.model.service import Service
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.peers.load_news import MAX_NEWS, LoadNews
from wharf_gateway.routing.balancing import choose_by_prefix
from wharf_gateway.routing.engine_cost import EngineCost
from wharf_gateway.routing.expected_time import (
    choose,
    engine_estimates,
    engine_spread,
)
from wharf_gateway.routing.load_view import LoadView
from wharf_gateway.routing.locality import CentreWait, Locality
from wharf_gateway.routing.prompt_cache import PromptCache
from wharf_gateway.routing.prompt_work import PromptWork
from wharf_gateway.routing.upstream_state import UpstreamState

CENTRES = "abcd"
CROSSING_SECONDS = 0.01
CACHE_TOKENS = 400_000
OUTPUT_TOKENS = 100
CHUNK_TOKENS = 2048  # a step of the other requests comes after so many
# Requests a second, mean tokens, and the seconds in which the first token is due.
KINDS = {
    "digest": (18.9, 9190, 0.8),
    "reply": (22.8, 2368, 1.0),
    "note": (18.6, 715, 0.5),
}


@dataclass
class TrueEngine:
    """An engine: `constant` and `noise` are the pace of its host."""

    name: str
    cost: EngineCost
    constant: float
    has_noise: bool
    reports_pace: bool
    cache: PromptCache = field(default_factory=lambda: PromptCache(CACHE_TOKENS))
    noise: float = 1.0
    noise_until: float = 0.0
    free_at: float = 0.0
    firsts: list = field(default_factory=list)  # (begins to be read, response ends)

    def pace(self, now, rng):
        """Return the pace of the host now."""
        if self.has_noise and now >= self.noise_until:
            self.noise = 2.5 if rng.random() < 0.15 else 1.0
            self.noise_until = now + rng.uniform(0.3, 0.9)
        return self.constant * self.noise

    def read_seconds(self, work):
        """Return the seconds to read a prompt at the usual pace."""
        uncached = max(0, work.total - self.cache.cached_tokens(work.parts))
        seconds = self.cost.read_seconds(uncached, work.total)
        return seconds + uncached / CHUNK_TOKENS * self.cost.step_seconds

    def run(self, work, now, rng):
        """Return when the first token comes, and count the tokens that are read."""
        pace = self.pace(now, rng)
        begins = max(self.free_at, now)
        self.free_at = begins + pace * self.read_seconds(work)
        read = max(0, work.total - self.cache.cached_tokens(work.parts))
        self.cache.use(work.parts, now)
        first = self.free_at + pace * self.cost.first_token_seconds
        ends = first + pace * self.cost.write_seconds(OUTPUT_TOKENS, 8)
        self.firsts.append((begins, ends))
        return first, read

    def load(self, now):
        """Return the numbers of running and waiting requests."""
        self.firsts = [item for item in self.firsts if item[1] > now]
        waiting = sum(begins > now for begins, _ in self.firsts)
        return len(self.firsts) - waiting, waiting


class TrialGateway:
    """One gateway's knowledge."""

    def __init__(self, name, upstreams, gateways):
        self.states = [UpstreamState(upstream) for upstream in upstreams]
        self.state_by_id = {state.upstream.id: state for state in self.states}
        self.view = LoadView(name)
        self.view.gateway_count = gateways
        self.home, self.locality = CENTRES[0], None
        self.decider = Locality()


def arrivals(seconds, rate, rng):
    """Return the time, kind and work of requests, in the order of time."""
    result = []
    keys_by_part = defaultdict(lambda: rng.getrandbits(32))
    for kind, (per_second, mean, _) in KINDS.items():
        at = rng.expovariate(per_second * rate)
        while at < seconds:
            total = int(min(39_600, mean * rng.lognormvariate(-0.32, 0.8)))
            caller = int(300 * rng.random() ** 2)
            sizes = (0.12 * mean, 0.25 * mean)
            keys = (
                keys_by_part[kind, caller % 20],
                keys_by_part[kind, "caller", caller],
            )
            parts = [(key, int(size)) for key, size in zip(keys, sizes, strict=True)]
            own = max(50, total - sum(sizes))
            parts.append((rng.getrandbits(32), int(own)))
            total = sum(tokens for _, tokens in parts)
            result.append((at, kind, PromptWork(tuple(parts), total)))
            at += rng.expovariate(per_second * rate)
    return sorted(result, key=lambda item: item[0])


def play(
    policy,
    *,
    paces,
    seed,
    seconds=25.0,
    rate=1.0,
    gateways=30,
    engines=27,
    locality=None,
):
    """Return the mean time to the first token, and the late shares by kind.

    Also return the prompt tokens that were read, and the share of requests that left
    their data centre, one of four. `locality` is "best" (of all, with the cost of a
    crossing), "stay", "share" or None.

    `policy` is "prefix", "known" (the truth), or the seconds between digests, inf for
    none. `paces` is "reported" (constant and noise) or "hidden" (1.3 for a third).
    """
    rng = Random(seed)
    fleet = _engines(paces, engines)
    upstreams = [
        Upstream(name, "engine", f"{name}:1", CENTRES[i % 4], "v1", 64, False, 1)
        for i, name in enumerate(fleet)
    ]
    service = Service("engine", "/", 100, 0.0, 0.0, Engine(64, CACHE_TOKENS))
    members = [TrialGateway(f"g{i}", upstreams, gateways) for i in range(gateways)]
    for i, member in enumerate(members):
        member.home, member.locality = CENTRES[i % 4], locality
    numbers = count()
    events = [(at, next(numbers), "send", (kind, work))
              for at, kind, work in arrivals(seconds, rate, rng)]  # fmt: skip
    if isinstance(policy, float) and policy < 60:
        times = int(seconds / policy)
        events += [(i * policy, next(numbers), "share", None) for i in range(times)]
    events.sort()
    waits, late, read_total, left = [], {kind: [] for kind in KINDS}, 0, 0
    while events:
        now, _, event, detail = heappop(events)
        match event:
            case "send":
                kind, work = detail
                gateway = rng.choice(members)
                state, estimate = _choice(
                    policy, gateway, fleet, service, work, now, rng
                )
                state.in_flight += 1
                gateway.view.record_send(state.upstream, work, now)
                engine = fleet[state.upstream.id]
                first, read = engine.run(work, now, rng)
                if now > seconds / 5:  # the first part is for learning
                    read_total += read
                    left += state.upstream.data_centre != gateway.home
                    waits.append(first - now)
                    late[kind].append(first - now > KINDS[kind][2])
                answer = (gateway, state, first - now, estimate)
                heappush(events, (first, next(numbers), "answer", answer))
            case "answer":
                gateway, state, latency, estimate = detail
                state.in_flight -= 1
                engine = fleet[state.upstream.id]
                load = engine.load(now)
                state.record_load(*load, now)
                pace = engine.pace(now, rng) if engine.reports_pace else None
                gateway.view.record_report(state.upstream, *load, pace, now)
                if estimate is not None:
                    ratio = latency / estimate.usual
                    gateway.view.record_ratio(estimate, ratio, now)
            case "share":
                news = [n for g in members if (n := g.view.take_news(now))]
                sends = tuple(item for n in news for item in n.sends)
                reports = tuple(item for n in news for item in n.reports)
                # On the wire for a tenth of a second, as digests are sent by a tick.
                digest = LoadNews(
                    tuple((o, i, age + 0.1, *r) for o, i, age, *r in sends)[:MAX_NEWS],
                    tuple((o, i, age + 0.1, *r) for o, i, age, *r in reports)[
                        :MAX_NEWS
                    ],
                    True,
                )
                heappush(events, (now + 0.1, next(numbers), "digest", digest))
            case "digest":
                for member in members:
                    member.view.apply(detail, now)
    shares = {kind: sum(items) / len(items) for kind, items in late.items()}
    return sum(waits) / len(waits), shares, read_total, left / len(waits)


def _engines(paces, count_):
    is_reported = paces == "reported"
    slow, fast = (1.7, 0.7) if is_reported else (1.3, 1.0)
    cost = EngineCost(tokens_per_second=50_700 if is_reported else 30_900)
    return {
        f"e{i}": TrueEngine(
            f"e{i}", cost, slow if i % 3 == 0 else fast, is_reported, is_reported
        )
        for i in range(count_)
    }


def _choice(policy, gateway, fleet, service, work, now, rng):
    if policy == "prefix":
        return choose_by_prefix(gateway.states, str(work.parts[-2][0]), now), None
    if policy == "known":

        def seconds(state):
            engine = fleet[state.upstream.id]
            read = engine.read_seconds(work) * engine.pace(now, rng)
            return max(0.0, engine.free_at - now) + read

        return min(gateway.states, key=seconds), None
    view = gateway.view
    estimates = engine_estimates(gateway.states, view, service, work, now)
    estimates = _within_locality(estimates, gateway, rng, now)
    spread = engine_spread(view.known_at(now), now)
    chosen = choose(estimates, spread=spread, draw=rng.random())
    return chosen.state, chosen


def _within_locality(estimates, gateway, rng, now):
    if gateway.locality is None:
        return estimates
    home, age = gateway.home, now - gateway.view.shared_at
    local = [e for e in estimates if e.state.upstream.data_centre == home]
    away = [e.plus(CROSSING_SECONDS) for e in estimates if e not in local]
    match gateway.locality:
        case "best":
            return local + away
        case "stay":
            return local
    waits = {}
    for estimate in sorted(estimates, key=lambda e: -e.seconds):
        centre = estimate.state.upstream.data_centre
        waits[centre] = CentreWait(estimate.seconds, min(age, estimate.age))
    decision = gateway.decider.decide(
        "engine", home, waits, CROSSING_SECONDS, rng.random(), now
    )
    return local + away if decision.leaves else local
