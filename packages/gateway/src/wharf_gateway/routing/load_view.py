"""What a gateway knows of the work of all upstreams."""

from collections import deque
from statistics import median_low

import xxhash

from wharf_gateway.peers.load_news import (
    MAX_NEWS,
    MAX_NEWS_PARTS,
    LoadNews,
    with_ages,
)
from wharf_gateway.routing.engine_cost import EngineCost
from wharf_gateway.routing.engine_view import EngineView
from wharf_gateway.routing.prompt_cache import PromptCache

__all__ = ["LoadView"]

# A view without news of others for this long counts as this gateway's own.
SHARED_SECONDS = 1.5
SCALE_SECONDS = 1.0  # between computations of a service's scale
MIN_ENGINES = 3  # with known ratios, or the scale stays as it is
LOW_SCALE, HIGH_SCALE = 0.3, 3.0
# A latency shows the pace only if little of it was expected to be waiting.
MAX_WAIT_SHARE = 0.2


class LoadView:
    """Views of upstreams from own sends and responses and from other gateways' news.

    `name` is this gateway's name, `shared_at` the time of the last digest. Nothing is
    recorded of an upstream until `view` was called for it, which only the choice by
    expected time does. `gateway_count` is the number of gateways.
    """

    def __init__(self, name, cost=None):
        self.origin = xxhash.xxh32_intdigest(name.encode())
        self.cost = cost or EngineCost()
        self.gateway_count = 1
        self.shared_at = float("-inf")
        self._view_by_id = {}
        self._scale_by_service = {}
        self._sends = deque(maxlen=MAX_NEWS)
        self._reports = deque(maxlen=MAX_NEWS)

    @property
    def is_active(self):
        """Return whether requests are routed by these views."""
        return bool(self._view_by_id)

    def is_shared(self, now):
        """Return whether other gateways' news are known."""
        return self.gateway_count <= 1 or now - self.shared_at <= SHARED_SECONDS

    def known_at(self, now):
        """Return the time up to which other gateways' news are known, None if not."""
        if self.gateway_count <= 1:
            return now
        return self.shared_at if self.is_shared(now) else None

    def view(self, upstream, cache_tokens=0):
        """Return the view of an upstream, created on first use."""
        view = self._view_by_id.get(upstream.id)
        if view is None or view.started_ms != upstream.started_ms:
            cache = PromptCache(cache_tokens)
            view = EngineView(upstream.service, upstream.started_ms, cache)
            self._view_by_id[upstream.id] = view
        if cache_tokens:
            view.cache.capacity = cache_tokens
        return view

    def record_send(self, upstream, work, now):
        """Record a prompt that this gateway sends."""
        view = self._view_by_id.get(upstream.id)
        if view is None:
            return
        others = 1.0 if self.is_shared(now) else self.gateway_count
        self._add_send(view, work.parts, work.total, now, now, others)
        parts = work.parts[:MAX_NEWS_PARTS]
        self._sends.append((self.origin, upstream.id, now, work.total, parts))

    def record_report(self, upstream, running, waiting, pace, now):
        """Record what a response says of its upstream; None where it says nothing."""
        view = self._view_by_id.get(upstream.id)
        if view is None:
            return
        if running is not None:
            view.load.record_report(now, running, waiting)
        if pace is not None:
            view.pace.record(pace, now)
        if running is not None or pace is not None:
            self._reports.append(
                (self.origin, upstream.id, now, running, waiting, pace, None)
            )

    def record_ratio(self, estimate, ratio, now):
        """Record a latency relative to `estimate` at the usual pace without a wait."""
        upstream = estimate.state.upstream
        view = self._view_by_id.get(upstream.id)
        if view is None or estimate.wait > MAX_WAIT_SHARE * estimate.usual:
            return
        ratio = min(max(ratio, 0.01), 100.0)
        view.pace.record_ratio(ratio)
        self._reports.append((self.origin, upstream.id, now, None, None, None, ratio))

    def scale(self, service, now):
        """Return the median ratio of a service's upstreams at the usual pace.

        It corrects `EngineCost`, whose figures differ between deployments.
        """
        scale, until = self._scale_by_service.get(service, (1.0, float("-inf")))
        if now < until:
            return scale
        ratios = [
            view.pace.ratio / view.pace.usual
            for view in self._view_by_id.values()
            if view.service == service and view.pace.ratio is not None
        ]
        if len(ratios) >= MIN_ENGINES:
            scale = min(max(median_low(ratios), LOW_SCALE), HIGH_SCALE)
        self._scale_by_service[service] = (scale, now + SCALE_SECONDS)
        return scale

    def take_news(self, now):
        """Return what this gateway has seen since the last call, or None."""
        if not self._sends and not self._reports:
            return None
        news = LoadNews(with_ages(self._sends, now), with_ages(self._reports, now))
        self._sends.clear()
        self._reports.clear()
        return news

    def apply(self, news, now):
        """Apply what other gateways have seen."""
        if news.is_digest:
            self.shared_at = now
        for origin, upstream_id, age, total, parts in news.sends:
            view = self._view_by_id.get(upstream_id)
            if view is not None and origin != self.origin:
                self._add_send(view, parts, total, now - age, now, 1.0)
        for origin, upstream_id, age, running, waiting, pace, ratio in news.reports:
            view = self._view_by_id.get(upstream_id)
            if view is None or origin == self.origin:
                continue
            if running is not None and waiting is not None:
                view.load.record_report(now - age, running, waiting)
            if pace is not None:
                view.pace.record(pace, now - age)
            if ratio is not None:
                view.pace.record_ratio(ratio)

    def retain(self, upstream_ids):
        """Forget upstreams that are gone."""
        for name in self._view_by_id.keys() - upstream_ids:
            del self._view_by_id[name]

    def dump(self, now):
        """Return what is known of the upstreams, for operators."""
        age = now - self.shared_at
        return {
            "shared_seconds_ago": round(age, 3) if age < float("inf") else None,
            "upstreams": {
                name: {
                    "wait": round(view.load.wait(now), 3),
                    "requests": view.load.requests(now),
                    "pace": round(view.pace.at(now, self.scale(view.service, now)), 2),
                    "is_pace_reported": view.pace.is_reported,
                }
                for name, view in self._view_by_id.items()
            },
        }

    def _add_send(self, view, parts, total, at, now, others):
        uncached = max(0, total - view.cache.cached_tokens(parts))
        seconds = self.cost.read_seconds(uncached, total)
        seconds *= view.pace.at(now, self.scale(view.service, now))
        view.load.record_send(at, seconds)
        view.cache.use(parts, at, others)
