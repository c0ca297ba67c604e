"""Decides when a watch that delivers nothing is compared with the store."""

from dataclasses import dataclass

__all__ = ["CHECK_SECONDS", "WatchCheck"]

# Between checks of one kind. With the probe's interval, twice the delivery time and
# three round trips, a change behind a silent connection is known after 1.5 s.
CHECK_SECONDS = 0.6
# A watch that works has delivered a change by then, also across data centres.
DELIVERY_SECONDS = 0.2
# Failures are answered with longer pauses, since the store may only be slow.
MAX_PAUSE_SECONDS = 4.0
MAX_FAILURES = 3


@dataclass(slots=True)
class WatchCheck:
    """Decide when to check a watch, by the position that the store is known to have.

    `seconds` is the shortest time between two checks. Times are those of the event
    loop, in seconds.
    """

    seconds: float = CHECK_SECONDS
    checked: object = None
    failures: int = 0
    _behind_since: float | None = None
    _next_at: float = float("-inf")

    def start(self):
        """Record that a watch begins, which has some time to deliver."""
        self._behind_since = None

    def is_due(self, position, told, now):
        """Return whether the store is at one of `told` and the watch hasn't shown it.

        >>> from wharf_gateway.store.store_position import StorePosition
        >>> check = WatchCheck()
        >>> position, told = StorePosition(1, 4), [StorePosition(1, 5)]
        >>> check.is_due(position, told, 8.0), check.is_due(position, told, 8.3)
        (False, True)
        """
        if all(self._is_known(position, other) for other in told):
            self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now >= max(self._behind_since + DELIVERY_SECONDS, self._next_at)

    def record_current(self, position, now):
        """Record that nothing was missed up to `position`."""
        self.checked, self.failures = position, 0
        self._behind_since, self._next_at = None, now + self.seconds

    def record_missed(self, now):
        """Record that the watch has missed changes, and is replaced."""
        self.failures, self._next_at = 0, now + self.seconds

    def record_failure(self, now):
        """Record a check without an answer; return whether to give up the watch."""
        self.failures += 1
        pause = max(self.seconds, min(MAX_PAUSE_SECONDS, 2.0**self.failures))
        self._next_at = now + pause
        if self.failures < MAX_FAILURES:
            return False
        self.failures = 0
        return True

    def _is_known(self, position, told):
        """Return whether nothing up to `told` is missing; eras are not compared."""
        checked = self.checked
        is_checked = checked is not None and checked.includes(told)
        return told.era != position.era or position.includes(told) or is_checked
