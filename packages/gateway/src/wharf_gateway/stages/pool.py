"""Data centres whose upstreams share one queue."""

from collections import Counter
from dataclasses import dataclass

__all__ = ["Pool", "pools_of"]

# With three upstreams of each service one is mostly about to be free; with fewer a
# piece waits half a call at each step, which its request's aim doesn't allow.
ENOUGH_UPSTREAMS = 3
EVERYWHERE = "everywhere"


@dataclass(frozen=True, slots=True)
class Pool:
    """A name and its data centres; no data centres means all."""

    name: str
    data_centres: frozenset[str] = frozenset()

    def holds(self, data_centre):
        """Return whether upstreams of a data centre belong to the pool."""
        return not self.data_centres or data_centre in self.data_centres

    @classmethod
    def named(cls, name):
        """Return the pool of a name, as `pools_of` gives it.

        >>> Pool.named("everywhere").holds("dc-1"), Pool.named("dc-2").holds("dc-1")
        (True, False)
        """
        return cls(name) if name == EVERYWHERE else cls(name, frozenset({name}))


def pools_of(places):
    """Return the pools for upstreams at `places`, pairs of service and data centre.

    Data centres have a pool of their own where each has enough upstreams of each
    service, else all share one.

    >>> [pool.name for pool in pools_of([("encode", "dc-1"), ("encode", "dc-2")])]
    ['everywhere']
    >>> [pool.name for pool in pools_of([("encode", "dc-1")] * 3)]
    ['dc-1']
    """
    counts = Counter(places)
    services = {service for service, _ in counts}
    centres = {centre for _, centre in counts}
    is_split = all(
        counts[service, centre] >= ENOUGH_UPSTREAMS
        for service in services
        for centre in centres
    )
    names = sorted(centres) if is_split and centres else [EVERYWHERE]
    return [Pool.named(name) for name in names]
