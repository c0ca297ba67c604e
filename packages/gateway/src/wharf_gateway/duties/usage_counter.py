"""Counts of the requests that upstreams began for one gateway."""

from collections import Counter, OrderedDict, defaultdict
from math import floor

from wharf_gateway.duties.usage_item import UsageItem

__all__ = ["UsageCounter"]

# Requests last 20 s at most on the measured deployments; at 47 requests a second this
# remembers them for seven minutes.
MAX_REMEMBERED_IDS = 20_000
# A window closes this long after its end, as estimates of the time differ that much.
CLOSE_SECONDS = 0.1
# Windows after the end of a process that it says are closed.
CLOSED_AT_END = 12


class UsageCounter:
    """Count each request once, in the window in which its run began.

    Times are Unix times, in seconds. A window is closed when nothing can be added to it
    any more; what is noticed later counts in the next one.
    """

    def __init__(self, window_seconds):
        self._window_seconds = window_seconds
        self._counts_by_window = defaultdict(Counter)
        self._uncertain_by_window = Counter()
        self._changed = defaultdict(set)
        self._counted_ids = OrderedDict()
        self._sent_at_by_key = {}
        self.closed = None

    def begin(self, key, sent_at):
        """Record that a plain request is sent, whose run may begin from now on."""
        self._sent_at_by_key.setdefault(key, sent_at)

    def end(self, key):
        """Record that a plain request is no longer under way."""
        self._sent_at_by_key.pop(key, None)

    def count(self, call_id, customer, began_at):
        """Count a request of a customer, unless it has been counted."""
        if self._is_new(call_id):
            window = self._window(began_at)
            self._counts_by_window[window][customer] += 1
            self._changed[window].add(customer)

    def count_uncertain(self, call_id, at):
        """Count a request that may have begun, or not, and will never be known."""
        if call_id not in self._counted_ids:
            window = self._window(at)
            self._uncertain_by_window[window] += 1
            self._changed.setdefault(window, set())

    def close(self, unix):
        """Close the windows that are over; return the last one."""
        earliest = min(self._sent_at_by_key.values(), default=unix)
        end = floor(min(earliest, unix - CLOSE_SECONDS) / self._window_seconds) - 1
        self.closed = end if self.closed is None else max(self.closed, end)
        return self.closed

    def end_all(self, unix):
        """Close all windows, also later ones, as the process ends."""
        self._sent_at_by_key.clear()
        self.closed = floor(unix / self._window_seconds) + CLOSED_AT_END

    def changes(self):
        """Return the totals that changed since the last call."""
        changed, self._changed = self._changed, defaultdict(set)
        return tuple(
            UsageItem(
                window,
                {name: self._counts_by_window[window][name] for name in names},
                self._uncertain_by_window[window],
            )
            for window, names in changed.items()
        )

    def totals(self):
        """Return all totals that are kept."""
        windows = self._counts_by_window.keys() | self._uncertain_by_window.keys()
        return tuple(
            UsageItem(
                window,
                dict(self._counts_by_window.get(window, {})),
                self._uncertain_by_window[window],
            )
            for window in windows
        )

    def forget(self, before):
        """Forget the windows before one."""
        for by_window in (self._counts_by_window, self._uncertain_by_window):
            for window in [window for window in by_window if window < before]:
                del by_window[window]

    def _window(self, unix):
        window = floor(unix / self._window_seconds)
        return window if self.closed is None else max(window, self.closed + 1)

    def _is_new(self, call_id):
        if call_id in self._counted_ids:
            return False
        self._counted_ids[call_id] = None
        if len(self._counted_ids) > MAX_REMEMBERED_IDS:
            self._counted_ids.popitem(last=False)
        return True
