"""Limit on the loads that draw on the weight store at the same time."""

from dataclasses import dataclass, field

__all__ = ["LoadLimiter"]


@dataclass(slots=True)
class LoadLimiter:
    """Let at most `max_loads` upstreams load at a time.

    A load that doesn't end within `timeout` seconds no longer counts.
    """

    max_loads: int
    timeout: float
    _expiry_by_upstream: dict[str, float] = field(default_factory=dict)

    def begin(self, upstreams, now) -> list[str]:
        """Return those of `upstreams` that may start to load now, in order.

        >>> limiter = LoadLimiter(max_loads=2, timeout=60.0)
        >>> limiter.begin(["a", "b", "c"], now=0.0)
        ['a', 'b']
        >>> limiter.end("a")
        >>> limiter.begin(["b", "c"], now=1.0)
        ['c']
        """
        self._expire(now)
        waiting = [name for name in upstreams if name not in self._expiry_by_upstream]
        room = self.max_loads - len(self._expiry_by_upstream)
        chosen = waiting[: max(0, room)]
        self._expiry_by_upstream |= dict.fromkeys(chosen, now + self.timeout)
        return chosen

    def end(self, upstream):
        """Count the load of `upstream` as ended."""
        self._expiry_by_upstream.pop(upstream, None)

    def _expire(self, now):
        expired = [
            name for name, expiry in self._expiry_by_upstream.items() if expiry <= now
        ]
        for name in expired:
            self.end(name)
