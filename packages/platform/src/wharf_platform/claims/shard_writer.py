"""Group commit of claim operations to one shard."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from wharf_coordination import Backoff
from wharf_coordination.claims import (
    ClaimOperation,
    ClaimOutcome,
    ClaimShard,
    Granted,
    KeyExpired,
)
from wharf_platform.claims.claim_codec import decode_shard, encode_shard
from wharf_platform.claims.claim_keys import FLOOR_KEY, shard_key
from wharf_platform.store_error import (
    Conflict,
    StoreError,
    Unavailable,
    UnknownOutcome,
)

__all__ = ["ShardWriter"]

MAX_BATCH = 256
MAX_ATTEMPTS = 24
CONFLICT_BACKOFF = Backoff(first=0.002, longest=0.05)
FAILURE_BACKOFF = Backoff(first=0.02, longest=0.5)


@dataclass(frozen=True, slots=True)
class _PendingOperation:
    operation: ClaimOperation
    outcome: asyncio.Future


@dataclass(frozen=True, slots=True)
class _CachedShard:
    """The shard as stored under `version`."""

    version: int
    shard: ClaimShard


class ShardWriter:
    """Commit pending operations in batches, one conditional write at a time.

    A commit starts at most once every `interval` seconds. `Unavailable` means that
    the operation was not written, `UnknownOutcome` that it may have been.
    """

    def __init__(self, client, place, rng, wall_clock, interval, retention):
        self._client = client
        self._place = place
        self._key = shard_key(place)
        self._rng = rng
        self._wall_clock = wall_clock
        self._interval = interval
        self._retention = retention
        self._pending = []
        self._cached = None
        self._task = None
        self._next_commit_at = 0.0

    @property
    def is_idle(self):
        """Return whether no operation is pending or being committed."""
        return self._task is None

    async def apply(
        self, operation: ClaimOperation
    ) -> Result[ClaimOutcome, StoreError]:
        """Return the outcome of `operation` once it is stored."""
        outcome = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingOperation(operation, outcome))
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return await outcome

    async def _run(self):
        try:
            while self._pending:
                await self._wait_for_interval()
                batch = self._pending[:MAX_BATCH]
                del self._pending[:MAX_BATCH]
                committed = Err(
                    UnknownOutcome(self._key, "the writer stopped during the commit")
                )
                try:
                    committed = await self._commit([item.operation for item in batch])
                finally:
                    self._resolve(batch, committed)
        finally:
            self._task = None

    async def _wait_for_interval(self):
        now = asyncio.get_running_loop().time()
        wait = max(0.0, self._next_commit_at - now)
        self._next_commit_at = now + wait + self._interval
        # Yields even without a wait, so that concurrent operations join the batch.
        await asyncio.sleep(wait)

    def _resolve(self, batch, committed):
        for index, item in enumerate(batch):
            if not item.outcome.done():
                item.outcome.set_result(
                    committed.map(lambda outcomes, index=index: outcomes[index])
                )

    async def _commit(self, operations) -> Result[list[ClaimOutcome], StoreError]:
        may_be_written = False
        last: StoreError = Unavailable(self._key, "no attempt was made")
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(self._delay(attempt, last))
            result = await self._attempt(operations)
            if result.is_ok():
                return result
            last = result.unwrap_err()
            # After a conflict the write may still be stored: an intermediary may
            # have sent it twice, and the second copy conflicts with the first.
            may_be_written |= isinstance(last, UnknownOutcome | Conflict)
            if not may_be_written:
                return result
        return Err(UnknownOutcome(self._key, f"retries exhausted after {last}"))

    async def _attempt(self, operations):
        is_fresh = self._cached is None
        read = await self._read()
        if read.is_err():
            return read
        cached = read.unwrap()
        # Cached again only once the stored state is known to be the same.
        self._cached = None
        outcomes = self._apply(cached.shard, operations)
        if not cached.shard.is_changed and not is_fresh:
            # A fresh read is needed to see writes of others since it was cached.
            return await self._attempt(operations)
        written = await self._write(cached)
        if written.is_err():
            return written
        if is_fresh and self._place.is_dated and Granted() in outcomes:
            return await self._recheck_floor(written.unwrap(), outcomes)
        self._cached = written.unwrap()
        return Ok(outcomes)

    async def _recheck_floor(self, written, outcomes):
        # The shard that was read may have been deleted with its claims, and the
        # write may have created it again. The floor is raised before anything
        # below it is deleted, so a floor read after the write shows that.
        read = await self._client.get(FLOOR_KEY)
        if read.is_err():
            return Err(UnknownOutcome(self._key, f"floor: {read.unwrap_err()}"))
        if self._place.bucket < int(read.unwrap().value or 0):
            return Ok([KeyExpired() if o == Granted() else o for o in outcomes])
        self._cached = written
        return Ok(outcomes)

    def _apply(self, shard: ClaimShard, operations):
        now = self._wall_clock()
        if not self._place.is_dated:
            shard.drop_expired(now, self._retention.seconds)
        return [shard.apply(operation, now) for operation in operations]

    async def _read(self) -> Result[_CachedShard, StoreError]:
        if self._cached is not None:
            return Ok(self._cached)
        read = await self._client.get(self._key)
        return read.and_then(self._decode)

    def _decode(self, stored) -> Result[_CachedShard, StoreError]:
        shard = decode_shard(stored.value)
        if shard.is_err():
            return Err(Unavailable(self._key, shard.unwrap_err()))
        return Ok(_CachedShard(stored.version, shard.unwrap()))

    async def _write(self, cached) -> Result[_CachedShard, StoreError]:
        if not cached.shard.is_changed:
            return Ok(cached)
        value = encode_shard(cached.shard)
        written = await self._client.put(self._key, value, cached.version)
        cached.shard.is_changed = False
        return written.map(lambda stored: _CachedShard(stored.version, cached.shard))

    def _delay(self, attempt, last):
        backoff = CONFLICT_BACKOFF if isinstance(last, Conflict) else FAILURE_BACKOFF
        return backoff.delay(attempt, self._rng)
