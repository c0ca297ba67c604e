"""Group commit of operations on the claims of one shard."""

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
from wharf_platform.stored_object import StoredObject

__all__ = ["ShardWriter"]

MAX_BATCH = 256
MAX_TRIES = 24
CONFLICT_BACKOFF = Backoff(first=0.002, longest=0.05)
FAILURE_BACKOFF = Backoff(first=0.02, longest=0.5)


@dataclass(frozen=True, slots=True)
class _Waiting:
    operation: ClaimOperation
    outcome: asyncio.Future


class ShardWriter:
    """Commit all operations that wait by one conditional update after another.

    Begins a commit at most once in `interval` seconds. `Unavailable` says that
    nothing of the operation was written; `UnknownOutcome` that it may have been.
    """

    def __init__(self, client, place, rng, wall_clock, interval, retention):
        self._client = client
        self._place = place
        self._key = shard_key(place)
        self._rng = rng
        self._wall_clock = wall_clock
        self._interval = interval
        self._retention = retention
        self._waiting = []
        self._stored = None
        self._task = None
        self._next_commit_at = 0.0

    @property
    def is_idle(self):
        """Return whether nothing is under way."""
        return self._task is None

    async def apply(
        self, operation: ClaimOperation
    ) -> Result[ClaimOutcome, StoreError]:
        """Return what the operation came to, once that is in the store."""
        outcome = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(operation, outcome))
        if self._task is None:
            self._task = asyncio.create_task(self._run())
        return await outcome

    async def _run(self):
        try:
            while self._waiting:
                await self._pace()
                batch = self._waiting[:MAX_BATCH]
                del self._waiting[:MAX_BATCH]
                committed = Err(UnknownOutcome(self._key, "the writer stopped"))
                try:
                    committed = await self._commit([item.operation for item in batch])
                finally:
                    self._resolve(batch, committed)
        finally:
            self._task = None

    async def _pace(self):
        now = asyncio.get_running_loop().time()
        wait = max(0.0, self._next_commit_at - now)
        self._next_commit_at = now + wait + self._interval
        # Yields also when there is no wait, so that claims of the same moment join.
        await asyncio.sleep(wait)

    def _resolve(self, batch, committed):
        for index, item in enumerate(batch):
            if not item.outcome.done():
                item.outcome.set_result(
                    committed.map(lambda outcomes, index=index: outcomes[index])
                )

    async def _commit(self, operations) -> Result[list[ClaimOutcome], StoreError]:
        may_be_written = False
        last: StoreError = Unavailable(self._key, "not tried")
        for number in range(MAX_TRIES):
            if number:
                await asyncio.sleep(self._delay(number, last))
            tried = await self._try(operations)
            if tried.is_ok():
                return tried
            last = tried.unwrap_err()
            # A conflict is not proof: an intermediary may have sent a write twice.
            may_be_written |= isinstance(last, UnknownOutcome | Conflict)
            if not may_be_written:
                return tried
        return Err(UnknownOutcome(self._key, f"given up after {last}"))

    async def _try(self, operations):
        is_fresh = self._stored is None
        read = await self._read()
        if read.is_err():
            return read
        stored = read.unwrap()
        decoded = decode_shard(stored.value)
        if decoded.is_err():
            return Err(Unavailable(self._key, decoded.unwrap_err()))
        shard = decoded.unwrap()
        outcomes = self._apply(shard, operations)
        self._stored = None
        if not shard.is_changed and not is_fresh:
            # What others wrote since shows only in a fresh read.
            return await self._try(operations)
        written = await self._write(stored, shard)
        if written.is_err():
            return written
        if is_fresh and self._place.is_dated and Granted() in outcomes:
            return await self._above_floor(written.unwrap(), outcomes)
        self._stored = written.unwrap()
        return Ok(outcomes)

    async def _above_floor(self, written, outcomes):
        # An object that was read may have been deleted with its claims and made
        # anew since. The floor is raised before anything below it is deleted, so
        # a floor read after the write shows that.
        read = await self._client.get(FLOOR_KEY)
        if read.is_err():
            return Err(UnknownOutcome(self._key, f"floor: {read.unwrap_err()}"))
        if self._place.bucket < int(read.unwrap().value or 0):
            return Ok([KeyExpired() if o == Granted() else o for o in outcomes])
        self._stored = written
        return Ok(outcomes)

    def _apply(self, shard: ClaimShard, operations):
        now = self._wall_clock()
        if not self._place.is_dated:
            shard.drop_expired(now, self._retention.seconds)
        return [shard.apply(operation, now) for operation in operations]

    async def _read(self) -> Result[StoredObject, StoreError]:
        if self._stored is None:
            return await self._client.get(self._key)
        return Ok(self._stored)

    async def _write(self, stored, shard) -> Result[StoredObject, StoreError]:
        if not shard.is_changed:
            return Ok(stored)
        return await self._client.put(self._key, encode_shard(shard), stored.version)

    def _delay(self, number, last):
        backoff = CONFLICT_BACKOFF if isinstance(last, Conflict) else FAILURE_BACKOFF
        return backoff.delay(number, self._rng)
