"""The time that a stopping process has left, and waits that end with it."""

from contextlib import contextmanager

__all__ = ["Shutdown"]


class Shutdown:
    """Bound waits by the time at which a stopping process has answered all requests.

    `ends_at` is that time, the event loop's, infinite until the process stops. New
    requests are taken until `closes_at`, when callers have found other gateways.
    """

    def __init__(self):
        self.ends_at = float("inf")
        self.closes_at = float("inf")
        self._margin_by_scope = {}

    @property
    def has_begun(self):
        """Return whether the process stops."""
        return self.ends_at != float("inf")

    def begin(self, ends_at, closes_at=float("inf")):
        """Begin the stop; waits that reach beyond it end sooner from now on."""
        self.ends_at = ends_at
        self.closes_at = closes_at
        for scope, margin in list(self._margin_by_scope.items()):
            self._bound(scope, margin)

    def admits(self, seconds, now):
        """Return whether a new request that takes `seconds` is taken."""
        return now < self.closes_at and not self.lacks(seconds, now)

    def lacks(self, seconds, now):
        """Return whether less than `seconds` are left."""
        return now + seconds > self.ends_at

    @contextmanager
    def bounding(self, scope, margin):
        """Let `scope`, an `asyncio.Timeout`, expire `margin` seconds before the end."""
        self._margin_by_scope[scope] = margin
        self._bound(scope, margin)
        try:
            yield
        finally:
            del self._margin_by_scope[scope]

    def _bound(self, scope, margin):
        ends_at = self.ends_at - margin
        known = scope.when()
        is_sooner = known is None or ends_at < known
        if self.has_begun and is_sooner and not scope.expired():
            scope.reschedule(ends_at)
