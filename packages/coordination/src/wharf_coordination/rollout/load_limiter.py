"""Limit on the model loads that read from the weight store at the same time."""

from dataclasses import dataclass, field

__all__ = ["LoadLimiter"]


@dataclass(slots=True)
class LoadLimiter:
    """Allow at most `max_loads` upstreams to load at a time.

    A load that hasn't ended after `timeout` seconds no longer counts.
    """

    max_loads: int
    timeout: float
    _expiry_by_upstream: dict[str, float] = field(default_factory=dict)

    def begin(self, upstreams, now) -> list[str]:
        """Return those of `upstreams` that may start loading now, in order.

        >>> limiter = LoadLimiter(max_loads=2, timeout=60.0)
        >>> limiter.begin(["a", "b", "c"], now=0.0)
        ['a', 'b']
        >>> limiter.end("a")
        >>> limiter.begin(["b", "c"], now=1.0)
        ['c']
        """
        self._expire(now)
        waiting = [name for name in upstreams if name not in self._expiry_by_upstream]
        free_slots = self.max_loads - len(self._expiry_by_upstream)
        admitted = waiting[: max(0, free_slots)]
        self._expiry_by_upstream |= dict.fromkeys(admitted, now + self.timeout)
        return admitted

    def end(self, upstream):
        """Record that the load of `upstream` has ended."""
        self._expiry_by_upstream.pop(upstream, None)

    def _expire(self, now):
        expired = [
            name for name, expiry in self._expiry_by_upstream.items() if expiry <= now
        ]
        for name in expired:
            self.end(name)
