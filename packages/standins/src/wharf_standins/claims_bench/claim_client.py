"""Clients that make claims for several entries under one scheme."""

import asyncio
from random import Random

from wharf_coordination import RateLimiter, ranked
from wharf_coordination.claims import ClaimPlace
from wharf_platform import CallLimiter, ObjectClient
from wharf_platform.claims import ClaimStore
from wharf_standins.claims_bench.scheme import (
    GroupCommit,
    ObjectPerKey,
    PreferredWriter,
)

__all__ = ["ClaimClients"]

# High enough that the store is the bottleneck, not the limit of one process.
CALLS_PER_SECOND = 2000.0


class ClaimClients:
    """Claim stores of several entries, each with its own client."""

    def __init__(self, session, url, scheme, entries):
        self._scheme = scheme
        self.clients = [self._client(session, url, n) for n in range(entries)]
        interval = getattr(scheme, "interval", 0.0)
        self._stores = [
            ClaimStore(client, Random(number), interval=interval)
            for number, client in enumerate(self.clients)
        ]

    async def apply(self, entry, unit, operation):
        """Apply `operation` to `unit` through `entry`; return the outcome."""
        place = ClaimPlace.of(unit)
        match self._scheme:
            case ObjectPerKey():
                own = ClaimPlace(int.from_bytes(unit.digest), place.bucket)
                return await self._stores[entry].apply(own, operation)
            case GroupCommit():
                return await self._stores[entry].apply(place, operation)
            case PreferredWriter(hop=hop):
                writer = self._preferred_writer(place)
                await asyncio.sleep(hop)
                outcome = await self._stores[writer].apply(place, operation)
                await asyncio.sleep(hop)
                return outcome

    def _preferred_writer(self, place):
        entries = [str(entry) for entry in range(len(self._stores))]
        return int(ranked(f"shard-{place.shard}", entries)[0])

    def _client(self, session, url, number):
        rate = RateLimiter(CALLS_PER_SECOND)
        return ObjectClient(session, url, limiter=CallLimiter(Random(number), rate))
