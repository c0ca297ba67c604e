"""Prefix cache of a stand-in engine, whose events are delayed and partly lost."""

from collections import OrderedDict
from dataclasses import asdict, dataclass, field
from random import Random

import xxhash

__all__ = ["CacheEvent", "PrefixCache"]

PREFIX_BYTES = 64


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix was stored or evicted at `at` seconds of the engine's clock."""

    number: int
    kind: str
    prefix: str
    at: float


@dataclass
class PrefixCache:
    """An LRU cache of at most `size` prefixes.

    An event is published `lag` seconds after it happened; a share of `loss` of
    all events is never published, which leaves a gap in their numbers.
    """

    size: int = 32
    lag: float = 0.5
    loss: float = 0.05
    rng: Random = field(default_factory=lambda: Random(1))
    _prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _events: list[CacheEvent] = field(default_factory=list)
    _next_number: int = 0

    @staticmethod
    def prefix_of(body):
        """Return the hash of the first `PREFIX_BYTES` of a body.

        >>> PrefixCache.prefix_of(b"a" * 64) == PrefixCache.prefix_of(b"a" * 65)
        True
        """
        return xxhash.xxh64_hexdigest(body[:PREFIX_BYTES])

    def use(self, body, now):
        """Return whether the prefix of `body` was cached; cache it."""
        prefix = self.prefix_of(body)
        was_cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not was_cached:
            self._publish("stored", prefix, now)
        if len(self._prefixes) > self.size:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish("evicted", evicted, now)
        return was_cached

    def clear(self):
        """Remove all prefixes without events, as a restart does."""
        self._prefixes.clear()

    def events(self, after, now):
        """Return the published events with a number above `after`."""
        return [
            asdict(event)
            for event in self._events
            if event.number > after and event.at + self.lag <= now
        ]

    def _publish(self, kind, prefix, now):
        self._next_number += 1
        if self.rng.random() >= self.loss:
            self._events.append(CacheEvent(self._next_number, kind, prefix, now))
