"""Claims in the platform's store, written in batches by shard."""

import asyncio
import time
from random import Random

from result import Err, Ok, Result

from wharf_coordination import Backoff
from wharf_coordination.claims import (
    ClaimOperation,
    ClaimOutcome,
    ClaimPlace,
    Retention,
    bucket_of,
)
from wharf_platform.claims.claim_eras import ClaimEras
from wharf_platform.claims.claim_keys import answer_key
from wharf_platform.claims.shard_writer import ShardWriter
from wharf_platform.object_client import ObjectClient
from wharf_platform.store_error import Conflict, StoreError
from wharf_platform.stored_object import ABSENT, StoredObject

__all__ = ["ClaimStore"]

COMMIT_INTERVAL_SECONDS = 0.05
MAX_WRITERS = 64
ERA_SPREAD_SECONDS = 1.0
ERA_BACKOFF = Backoff(first=0.5, longest=5.0)


class ClaimStore:
    """Apply operations to claims, batched by one writer for each place.

    `interval` is the least time between two commits at one place, in seconds.
    `wall_clock` returns the Unix time that decides which claims have expired.
    """

    def __init__(
        self,
        client: ObjectClient,
        rng: Random,
        retention=None,
        interval=COMMIT_INTERVAL_SECONDS,
        wall_clock=time.time,
    ):
        self.client = client
        self.retention = retention or Retention()
        self.wall_clock = wall_clock
        self.eras = ClaimEras(client, wall_clock)
        self._rng = rng
        self._interval = interval
        self._writer_by_place = {}
        self._tasks = set()
        self.eras.changes.subscribe(self._on_era)

    async def apply(
        self, place: ClaimPlace, operation: ClaimOperation
    ) -> Result[ClaimOutcome, StoreError]:
        """Apply `operation` to the claims at `place` and return its outcome."""
        return await self._writer(place).apply(operation)

    async def put_answer(self, place, digest, answer) -> Result[str, StoreError]:
        """Store a large answer in an object of its own; return its key."""
        key = answer_key(self._answer_bucket(place), digest)
        match await self.client.put(key, answer, ABSENT):
            # Only the claimant writes this key: a conflict means an earlier attempt
            # of its own succeeded.
            case Ok(_) | Err(Conflict()):
                return Ok(key)
            case error:
                return error

    async def get_answer(self, key) -> Result[StoredObject, StoreError]:
        """Return the object that holds a large answer."""
        return await self.client.get(key)

    def _on_era(self, _):
        task = asyncio.ensure_future(self._enter_era())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _enter_era(self):
        for writer in tuple(self._writer_by_place.values()):
            await writer.restate()
        # Keys dated before the recorded beginning are in doubt, so it is recorded soon
        # even if there are no claims.
        await asyncio.sleep(self._rng.random() * ERA_SPREAD_SECONDS)
        failures = 0
        while (await self.eras.current()).is_err():
            failures += 1
            await asyncio.sleep(ERA_BACKOFF.delay(failures, self._rng))

    def _answer_bucket(self, place):
        if place.is_dated:
            return place.bucket
        return bucket_of(self.wall_clock())

    def _writer(self, place):
        writer = self._writer_by_place.pop(place, None) or ShardWriter(
            self.client,
            place,
            self._rng,
            self.wall_clock,
            self._interval,
            self.retention,
            self.eras,
        )
        self._writer_by_place[place] = writer
        self._evict_idle_writers()
        return writer

    def _evict_idle_writers(self):
        excess = len(self._writer_by_place) - MAX_WRITERS
        if excess <= 0:
            return
        idle = [p for p, writer in self._writer_by_place.items() if writer.is_idle]
        for place in idle[:excess]:
            del self._writer_by_place[place]
