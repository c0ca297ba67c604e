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
    StoreEra,
)
from wharf_platform.claims.claim_codec import decode_shard, encode_shard
from wharf_platform.claims.claim_eras import ClaimEras
from wharf_platform.claims.claim_keys import (
    FLOOR_KEY,
    era_of_shard_key,
    shard_key,
)
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
    """The shard as stored under `version` in `era`."""

    era: StoreEra
    version: int
    shard: ClaimShard


class ShardWriter:
    """Commit pending operations in batches, one conditional write at a time.

    A commit starts at most once every `interval` seconds. `Unavailable` means that
    the operation was not written, `UnknownOutcome` that it may have been.

    An operation counts only if the store was in one era when its object was read and
    when it was written. What the store had acknowledged in an earlier era is written
    again in the present one.
    """

    def __init__(
        self, client, place, rng, wall_clock, interval, retention, eras: ClaimEras
    ):
        self._client = client
        self._place = place
        self._key = shard_key(place)
        self._rng = rng
        self._wall_clock = wall_clock
        self._interval = interval
        self._retention = retention
        self._eras = eras
        self._pending = []
        self._cached = None
        self._acknowledged = None
        self._former = ClaimShard()
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

    async def restate(self):
        """Write again what the store acknowledged in an earlier era."""
        last = self._acknowledged
        if last and last.era.number != self._eras.number and self.is_idle:
            self._task = asyncio.create_task(self._run())
            await self._task

    async def _run(self):
        try:
            while True:
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
                if not self._pending:
                    return
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
        begun = await self._eras.current()
        if begun.is_err():
            return begun
        era = begun.unwrap()
        self._enter(era)
        is_fresh = self._cached is None
        read = await self._read(era)
        if read.is_err():
            return read
        if era.number != self._eras.number:
            return await self._attempt(operations)
        cached = self._acknowledged = read.unwrap()
        # Cached again only once the stored state is known to be the same.
        self._cached = None
        shard = cached.shard.copy()
        shard.carry_over(self._former)
        outcomes = self._apply(shard, era, operations)
        if not shard.is_changed and not is_fresh:
            # A fresh read is needed to see writes of others since it was cached.
            return await self._attempt(operations)
        written = await self._write(era, cached.version, shard)
        if written.is_err():
            return written
        self._acknowledged = written.unwrap()
        self._former = ClaimShard()
        if is_fresh and self._place.is_dated and Granted() in outcomes:
            return await self._recheck_floor(written.unwrap(), outcomes)
        self._cached = written.unwrap()
        return Ok(outcomes)

    def _enter(self, era):
        last = self._acknowledged
        if last is not None and last.era.number != era.number:
            self._former.carry_over(last.shard)
            self._acknowledged = self._cached = None

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

    def _apply(self, shard: ClaimShard, era, operations):
        now = self._wall_clock()
        if not self._place.is_dated:
            shard.drop_expired(now, self._retention.seconds)
        shard.may_have_lost = era.may_have_lost(
            self._place, now, self._retention.seconds
        )
        return [shard.apply(operation, now) for operation in operations]

    async def _read(self, era) -> Result[_CachedShard, StoreError]:
        if self._cached is not None:
            return Ok(self._cached)
        read = await self._client.get(shard_key(self._place, era.number))
        if read.is_err():
            return read
        stored = read.unwrap()
        self._eras.observe(stored.era)
        shard = self._decode(stored)
        if not stored.exists and era.may_have_former(self._place):
            shard = await self._read_former(era)
        return shard.map(lambda shard: _CachedShard(era, stored.version, shard))

    async def _read_former(self, era) -> Result[ClaimShard, StoreError]:
        """Return the claims that the latest of the earlier eras has left."""
        listed = await self._client.list_versions(self._key)
        if listed.is_err():
            return listed
        eras = {era_of_shard_key(self._place, key) for key in listed.unwrap()}
        earlier = [number for number in eras - {None} if number < era.number]
        if not earlier:
            return Ok(ClaimShard())
        read = await self._client.get(shard_key(self._place, max(earlier)))
        shard = ClaimShard()
        return read.and_then(self._decode).map(
            lambda former: shard.carry_over(former) or shard
        )

    def _decode(self, stored) -> Result[ClaimShard, StoreError]:
        shard = decode_shard(stored.value)
        if shard.is_err():
            return Err(Unavailable(self._key, shard.unwrap_err()))
        return shard

    async def _write(self, era, version, shard) -> Result[_CachedShard, StoreError]:
        if not shard.is_changed:
            return Ok(_CachedShard(era, version, shard))
        key = shard_key(self._place, era.number)
        written = await self._client.put(key, encode_shard(shard), version)
        if written.is_err():
            return written
        stored = written.unwrap()
        if not self._eras.is_current(stored, era):
            detail = "the store has come back from a copy"
            return Err(UnknownOutcome(self._key, detail))
        shard.is_changed = False
        return Ok(_CachedShard(era, stored.version, shard))

    def _delay(self, attempt, last):
        backoff = CONFLICT_BACKOFF if isinstance(last, Conflict) else FAILURE_BACKOFF
        return backoff.delay(attempt, self._rng)
