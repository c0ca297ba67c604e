"""Totals of all gateways, and the decision of a window's counts."""

from collections import Counter
from dataclasses import dataclass, field, replace
from math import floor

from wharf_gateway.duties.usage_decision import UsageDecision

__all__ = ["UsageLedger"]

# A window is decided at the latest this long before its report is due: two writes to
# the store (0.9 s and 0.6 s) and two calls to the platform (0.5 s each) fit in.
LAST_SECONDS = 3.5
# Gateways that have gone silent are waited for this long after a window's end: links
# recover within seconds, and a successor of the holder needs 3.2 s.
SILENT_SECONDS = 4.0
KEPT_WINDOWS = 12  # a minute of windows of five seconds


@dataclass(slots=True)
class _Source:
    """The totals of one process of a gateway."""

    closed: int | None = None
    counts_by_window: dict = field(default_factory=dict)
    uncertain_by_window: dict = field(default_factory=dict)


class UsageLedger:
    """Collect running totals and decide windows.

    Times are Unix times, in seconds. Totals only grow, so that they may arrive more
    than once and in any order. Decisions that were seen are kept and never differ
    again; `late` counts requests that arrived after the decision of their window.
    Windows in `reported` need no report any more.
    """

    def __init__(self, window_seconds, late_seconds):
        self._window_seconds = window_seconds
        self._late_seconds = late_seconds
        self._source_by_id = {}
        self._latest_id_by_name = {}
        self._through = None
        self._decided = {}
        self._base = UsageDecision()
        self._no_decision_before = None
        self.reported = set()
        self.late = 0

    def record(self, name, incarnation, closed, items):
        """Record totals of a process, which has closed all windows up to `closed`."""
        source = self._source_by_id.setdefault(incarnation, _Source())
        self._latest_id_by_name[name] = incarnation
        if closed is not None:
            known = closed if source.closed is None else source.closed
            source.closed = max(closed, known)
        for item in items:
            counts = source.counts_by_window.setdefault(item.window, Counter())
            before = counts.total()
            counts |= Counter(item.counts)
            source.counts_by_window[item.window] = counts
            source.uncertain_by_window[item.window] = item.uncertain
            if self._through is not None and item.window <= self._through:
                self.late += counts.total() - before

    def learn(self, through, counts_by_window):
        """Record decisions that a holder has stored."""
        if through is None:
            return
        known = through if self._through is None else self._through
        self._through = max(through, known)
        for window, counts in counts_by_window.items():
            self._decided.setdefault(window, counts)
        for window in [w for w in self._decided if w < self._through - KEPT_WINDOWS]:
            del self._decided[window]
            self.reported.discard(window)

    @property
    def decided(self):
        """Return the last decided window, and the counts of the latest ones."""
        return self._through, self._decided

    def begin_from(self, decision):
        """Go on from the decision in the record of the last holder."""
        self.learn(decision.through, decision.counts_by_window)
        self._base = decision

    def leave_undecided(self, before):
        """Decide no window before `before`, as its decision may have been lost."""
        known = self._no_decision_before
        self._no_decision_before = before if known is None else max(known, before)

    def due(self, window):
        """Return when the report of a window is due."""
        return (window + 1) * self._window_seconds + self._late_seconds

    def counts(self, window):
        """Return a window's counts by customer, as far as they are known."""
        included, others = Counter(), Counter()
        for incarnation, source in self._source_by_id.items():
            counts = source.counts_by_window.get(window)
            if counts:
                target = included if incarnation in self._base.sources else others
                target.update(counts)
        base = Counter(self._base.open_by_window.get(window, {}))
        return dict((base | included) + others)

    def uncertain(self, window):
        """Return the number of a window's requests that may have begun or not."""
        sources = self._source_by_id.values()
        return sum(source.uncertain_by_window.get(window, 0) for source in sources)

    def decide(self, unix, present, silent=frozenset(), settles=True):
        """Return the decision to store now; without `settles` no window is decided.

        `present` are the names of the gateways that are heard, `silent` of those that
        were until lately. Windows whose reports are overdue are left out.
        """
        last = floor(unix / self._window_seconds) - 1
        window = self._first_undecided(unix)
        decided = {
            w: counts
            for w, counts in self._decided.items()
            if self.due(w) > unix and w not in self.reported
        }
        through = self._through
        while settles and window is not None and window <= last:
            waits_for = present
            if unix < (window + 1) * self._window_seconds + SILENT_SECONDS:
                waits_for = present | silent
            if not self._is_decidable(window, unix, waits_for):
                break
            decided[window] = self.counts(window)
            through, window = window, window + 1
        open_windows = () if window is None else range(window, last + 2)
        return UsageDecision(
            through,
            decided,
            {w: counts for w in open_windows if (counts := self.counts(w))},
            tuple(sorted({*self._base.sources, *self._source_by_id})),
        )

    def forget(self, unix):
        """Forget the windows that are long over, and processes that have no others."""
        first = floor(unix / self._window_seconds) - KEPT_WINDOWS
        for incarnation, source in list(self._source_by_id.items()):
            for by_window in (source.counts_by_window, source.uncertain_by_window):
                for window in [window for window in by_window if window < first]:
                    del by_window[window]
            is_latest = incarnation in self._latest_id_by_name.values()
            if not is_latest and not source.counts_by_window:
                del self._source_by_id[incarnation]
        open_by_window = {
            w: counts for w, counts in self._base.open_by_window.items() if w >= first
        }
        if not open_by_window and self._base.sources:
            self._base = replace(self._base, open_by_window={}, sources=())

    def _first_undecided(self, unix):
        """Return the first window to decide, None if no request has been counted."""
        if self._through is not None:
            first = self._through + 1
        else:
            windows = {
                *self._base.open_by_window,
                *(w for s in self._source_by_id.values() for w in s.counts_by_window),
            }
            if not windows:
                return None
            first = min(windows)
        in_time = floor((unix - self._late_seconds) / self._window_seconds)
        return max(first, in_time, self._no_decision_before or first)

    def _is_decidable(self, window, unix, present):
        """Return whether all have closed a window, or its time is nearly over."""
        if unix >= self.due(window) - min(LAST_SECONDS, self._late_seconds / 2):
            return True
        closed = [
            self._source_by_id[self._latest_id_by_name[name]].closed
            if name in self._latest_id_by_name
            else None
            for name in present
        ]
        return all(end is not None and end >= window for end in closed)
