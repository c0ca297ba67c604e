"""Upstreams that left, in case a copy of the store still has them."""

from dataclasses import dataclass, field

__all__ = ["UpstreamMemory"]

MAX_UPSTREAMS = 1000  # that are remembered, the last ones to leave


@dataclass(slots=True)
class UpstreamMemory:
    """The last known state of upstreams whose entries were removed, by the store's era.

    >>> from wharf_gateway.model.upstream import Upstream
    >>> left = Upstream("u1", "s", "a:1", "dc", "v1", 4, False, 1, sequence=8)
    >>> memory = UpstreamMemory()
    >>> memory.record(left, era=1)
    >>> memory.has_left(left, era=2)
    True
    """

    _upstream_by_id: dict = field(default_factory=dict)
    _era_by_id: dict = field(default_factory=dict)

    def record(self, upstream, era):
        """Record an upstream whose entry was removed in an era."""
        self._upstream_by_id.pop(upstream.id, None)
        self._upstream_by_id[upstream.id] = upstream
        self._era_by_id[upstream.id] = era
        if len(self._upstream_by_id) > MAX_UPSTREAMS:
            oldest = next(iter(self._upstream_by_id))
            del self._upstream_by_id[oldest], self._era_by_id[oldest]

    def has_left(self, upstream, era):
        """Return whether an entry is no later than one that was removed before `era`.

        An entry that the era of the removal shows has been written again.
        """
        known = self._upstream_by_id.get(upstream.id)
        if known is None or self._era_by_id[upstream.id] == era:
            return False
        return not upstream.is_later_than(known)

    def last_known(self, upstream):
        """Return an entry's upstream, or what is known of it if it was draining."""
        known = self._upstream_by_id.get(upstream.id)
        if known is None or not known.is_draining:
            return upstream
        is_same = known.started_ms == upstream.started_ms
        return known if is_same and not upstream.is_later_than(known) else upstream
