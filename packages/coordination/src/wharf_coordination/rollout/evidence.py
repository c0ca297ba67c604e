"""Recent outcomes of calls to both versions, by route and load."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from itertools import chain
from math import exp
from statistics import median

from wharf_coordination.rollout.route import Route
from wharf_coordination.rollout.route_evidence import RouteEvidence
from wharf_coordination.rollout.sample import Sample

__all__ = ["Cell", "Evidence"]

MAX_SAMPLES = 200
MIN_RECENT = 20
# Share of the calls expected from the traffic that is enough for a decision.
MIN_TRAFFIC_SHARE = 0.5
# That a route which gets its part of the calls is taken for one that doesn't.
STARVED_PROBABILITY = 1e-4


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """A route at a load; the highest load in band `n` is 2**n - 1 in flight."""

    route: Route
    band: int

    @property
    def load(self):
        """Return a description of the band's calls in flight."""
        return f"up to {2**self.band - 1} in flight"


@dataclass(slots=True)
class Evidence:
    """Samples of the last `window` seconds, grouped by cell for comparison.

    The newest samples of the old version are kept beyond the window, as the
    reference at loads that the old version no longer gets.
    """

    old_version: str
    new_version: str
    window: float
    total_new: int = 0
    warm_new: int = 0
    total: int = 0
    first_sample_at: float | None = None
    _old_by_cell: dict[Cell, deque[Sample]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=MAX_SAMPLES))
    )
    _new_by_cell: dict[Cell, deque[Sample]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=MAX_SAMPLES))
    )
    _new_total_by_route: dict[Route, int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _total_by_route: dict[Route, int] = field(default_factory=lambda: defaultdict(int))

    def add(self, sample: Sample):
        """Add the outcome of one attempt."""
        if self.first_sample_at is None:
            self.first_sample_at = sample.ended_at
        self.total += 1
        self._total_by_route[sample.route] += 1
        cell = Cell(sample.route, sample.in_flight.bit_length())
        if sample.version == self.old_version:
            self._old_by_cell[cell].append(sample)
        elif sample.version == self.new_version:
            self._new_by_cell[cell].append(sample)
            self._new_total_by_route[sample.route] += 1
            self.total_new += 1
            self.warm_new += not sample.is_cold

    def cells(self) -> list[Cell]:
        """Return the cells that have samples of both versions."""
        return sorted(self._old_by_cell.keys() & self._new_by_cell.keys())

    def recent(self, cell, now) -> tuple[list[Sample], list[Sample]]:
        """Return the old and the new version's samples within the window.

        If the old version has fewer than MIN_RECENT, all its kept samples are used.
        """
        samples = self._old_by_cell[cell]
        old = self._recent(samples, now)
        if len(old) < MIN_RECENT:
            old = list(samples)
        return old, self._recent(self._new_by_cell[cell], now)

    def concurrent(self, cell, now) -> tuple[list[Sample], list[Sample]]:
        """Return both versions' samples within the window, however few they are."""
        old, new = self._old_by_cell[cell], self._new_by_cell[cell]
        return self._recent(old, now), self._recent(new, now)

    def kept(self, cell) -> tuple[list[Sample], list[Sample]]:
        """Return all kept samples of the old and the new version, of any age."""
        return list(self._old_by_cell[cell]), list(self._new_by_cell[cell])

    def routes(self) -> list[Route]:
        """Return the routes that have samples of any version."""
        cells = [*self._old_by_cell, *self._new_by_cell]
        return sorted({cell.route for cell in cells})

    def kept_on(self, route) -> tuple[list[Sample], list[Sample]]:
        """Return all kept samples of both versions on a route, at any load."""
        return tuple(
            list(
                chain.from_iterable(
                    samples
                    for cell, samples in samples_by_cell.items()
                    if cell.route == route
                )
            )
            for samples_by_cell in (self._old_by_cell, self._new_by_cell)
        )

    def call_rate(self, now) -> float:
        """Return the calls per second of both versions since the first call."""
        if self.first_sample_at is None or now <= self.first_sample_at:
            return 0.0
        return self.total / (now - self.first_sample_at)

    def missing_routes(self, calls, fewest, now) -> list[Route]:
        """Return the routes in use on which the new version had too few calls.

        A route needs `calls` of them or, if it has little traffic, as many as its
        proportional part of the new version's calls exceeds almost always, but at
        least `fewest`.
        """
        counts = defaultdict(int)
        for cell, samples in self._old_by_cell.items():
            counts[cell.route] += len(self._recent(samples, now))
        return sorted(
            route
            for route, count in counts.items()
            if count >= MIN_RECENT
            and self._new_total_by_route[route]
            < self._required_calls(route, calls, fewest)
        )

    def _required_calls(self, route, calls, fewest):
        part = self._total_by_route[route] / self.total
        mean = self.total_new * part
        return min(calls, max(fewest, _poisson_quantile(mean, calls)))

    def calls_at_usual_load(self, now) -> int:
        """Return the new version's kept calls at half the median load or more.

        The median is that of the old version's recent calls.
        """
        bands = sorted(
            cell.band
            for cell, samples in self._old_by_cell.items()
            for _ in self._recent(samples, now)
        )
        usual = bands[len(bands) // 2] if bands else 0
        return sum(
            len(samples)
            for cell, samples in self._new_by_cell.items()
            if cell.band >= usual - 1
        )

    def summary(self, now) -> list[RouteEvidence]:
        """Return a summary of the evidence for each route."""
        return [self._route_summary(route, now) for route in self.routes()]

    def _route_summary(self, route, now):
        old = self._recent_on_route(self._old_by_cell, route, now)
        new = self._recent_on_route(self._new_by_cell, route, now)
        return RouteEvidence(
            route=str(route),
            old_calls=len(old),
            old_failures=sum(sample.failed for sample in old),
            old_median=_median(old),
            new_calls=len(new),
            new_failures=sum(sample.failed for sample in new),
            new_median=_median(new),
        )

    def _recent_on_route(self, samples_by_cell, route, now):
        parts = (
            self._recent(samples, now)
            for cell, samples in samples_by_cell.items()
            if cell.route == route
        )
        return list(chain.from_iterable(parts))

    def _recent(self, samples, now):
        start = now - self.window
        return [sample for sample in samples if sample.ended_at > start]


def _poisson_quantile(mean, most):
    """Return the count that a Poisson variable almost always reaches, at most `most`.

    For means above 745 the terms are 0, as exp(-mean) is, and only `most` ends the sum.

    >>> [_poisson_quantile(mean, 50) for mean in (1.0, 12.0, 30.0, 800.0)]
    [0, 2, 12, 50]
    """
    term = total = exp(-mean)
    count = 0
    while total < STARVED_PROBABILITY and count < most:
        count += 1
        term *= mean / count
        total += term
    return count


def _median(samples):
    answered = [sample.elapsed for sample in samples if not sample.failed]
    return round(median(answered), 6) if answered else 0.0
