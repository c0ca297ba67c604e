"""Upstreams that left, in case a copy of the store still has them."""

from dataclasses import dataclass, field

__all__ = ["UpstreamMemory"]

MAX_UPSTREAMS = 1000  # that are remembered, the last ones to leave


@dataclass(slots=True)
class UpstreamMemory:
    """The last known state of upstreams whose entries were removed.

    >>> from wharf_gateway.model.upstream import Upstream
    >>> left = Upstream("u1", "s", "a:1", "dc", "v1", 4, False, 1, sequence=8)
    >>> memory = UpstreamMemory()
    >>> memory.record(left)
    >>> memory.has_left(left)
    True
    """

    _upstream_by_id: dict = field(default_factory=dict)

    def record(self, upstream):
        """Record an upstream whose entry was removed."""
        self._upstream_by_id.pop(upstream.id, None)
        self._upstream_by_id[upstream.id] = upstream
        if len(self._upstream_by_id) > MAX_UPSTREAMS:
            del self._upstream_by_id[next(iter(self._upstream_by_id))]

    def has_left(self, upstream):
        """Return whether an entry is no later than the one that was removed."""
        known = self._upstream_by_id.get(upstream.id)
        return known is not None and not upstream.is_later_than(known)

    def last_known(self, upstream):
        """Return an entry's upstream, or what is known of it if it was draining."""
        known = self._upstream_by_id.get(upstream.id)
        if known is None or not known.is_draining:
            return upstream
        is_same = known.started_ms == upstream.started_ms
        return known if is_same and self.has_left(upstream) else upstream
