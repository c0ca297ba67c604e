"""Recent outcomes of both versions, by route and load."""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from itertools import chain
from statistics import median

from wharf_coordination.rollout.route import Route
from wharf_coordination.rollout.route_evidence import RouteEvidence
from wharf_coordination.rollout.sample import Sample

__all__ = ["Cell", "Evidence"]

MAX_SAMPLES = 200
MIN_RECENT = 20
# Of the calls that a route's traffic lets expect, as many must have come.
THIN_SHARE = 0.5


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """A route at a load; band `n` holds loads of up to 2**n - 1 in flight."""

    route: Route
    band: int

    @property
    def load(self):
        """Return the calls in flight that the band holds, as a text."""
        return f"up to {2**self.band - 1} in flight"


@dataclass(slots=True)
class Evidence:
    """Samples of the last `window` seconds, compared within equal cells.

    The newest samples of the old version are kept beyond the window: they are
    the comparison at loads that the old version no longer sees.
    """

    old_version: str
    new_version: str
    window: float
    total_new: int = 0
    total: int = 0
    began_at: float | None = None
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
        """Keep the outcome of one attempt."""
        if self.began_at is None:
            self.began_at = sample.ended_at
        self.total += 1
        self._total_by_route[sample.route] += 1
        cell = Cell(sample.route, sample.in_flight.bit_length())
        if sample.version == self.old_version:
            self._old_by_cell[cell].append(sample)
        elif sample.version == self.new_version:
            self._new_by_cell[cell].append(sample)
            self._new_total_by_route[sample.route] += 1
            self.total_new += 1

    def cells(self) -> list[Cell]:
        """Return the cells in which both versions were seen."""
        return sorted(self._old_by_cell.keys() & self._new_by_cell.keys())

    def recent(self, cell, now) -> tuple[list[Sample], list[Sample]]:
        """Return the old and the new version's samples of the window.

        If the old version has too few of them, its newest ones stand in.
        """
        samples = self._old_by_cell[cell]
        old = self._recent(samples, now)
        if len(old) < MIN_RECENT:
            old = list(samples)
        return old, self._recent(self._new_by_cell[cell], now)

    def all_kept(self, cell) -> tuple[list[Sample], list[Sample]]:
        """Return the kept samples of the old and the new version, of any age."""
        return list(self._old_by_cell[cell]), list(self._new_by_cell[cell])

    def calls_a_second(self, now) -> float:
        """Return the rate of calls of both versions since the first."""
        if self.began_at is None or now <= self.began_at:
            return 0.0
        return self.total / (now - self.began_at)

    def missing_routes(self, calls, now) -> list[Route]:
        """Return routes in use on which the new version had too few calls.

        That is under `calls`, or, where the route's traffic is thin, under half of
        what its part of all the new version's calls would be; one at least.
        """
        counts = defaultdict(int)
        for cell, samples in self._old_by_cell.items():
            counts[cell.route] += len(self._recent(samples, now))
        return sorted(
            route
            for route, count in counts.items()
            if count >= MIN_RECENT
            and self._new_total_by_route[route] < self._needed_on(route, calls)
        )

    def _needed_on(self, route, calls):
        part = self._total_by_route[route] / self.total
        return min(calls, max(1, int(self.total_new * part * THIN_SHARE)))

    def calls_at_usual_load(self, now) -> int:
        """Return the new version's kept calls at half the usual load or more."""
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
        """Return the evidence for each route."""
        cells = [*self._old_by_cell, *self._new_by_cell]
        routes = sorted({cell.route for cell in cells})
        return [self._route_summary(route, now) for route in routes]

    def _route_summary(self, route, now):
        old = self._of_route(self._old_by_cell, route, now)
        new = self._of_route(self._new_by_cell, route, now)
        return RouteEvidence(
            route=str(route),
            old_calls=len(old),
            old_failures=sum(sample.failed for sample in old),
            old_median=_median(old),
            new_calls=len(new),
            new_failures=sum(sample.failed for sample in new),
            new_median=_median(new),
        )

    def _of_route(self, samples_by_cell, route, now):
        parts = (
            self._recent(samples, now)
            for cell, samples in samples_by_cell.items()
            if cell.route == route
        )
        return list(chain.from_iterable(parts))

    def _recent(self, samples, now):
        begin = now - self.window
        return [sample for sample in samples if sample.ended_at > begin]


def _median(samples):
    answered = [sample.elapsed for sample in samples if not sample.failed]
    return round(median(answered), 6) if answered else 0.0
