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

__all__ = ["ShardWriter"]

MAX_BATCH = 256
MAX_TRIES = 24
CONFLICT_BACKOFF = Backoff(first=0.002, longest=0.05)
FAILURE_BACKOFF = Backoff(first=0.02, longest=0.5)


@dataclass(frozen=True, slots=True)
class _Waiting:
    operation: ClaimOperation
    outcome: asyncio.Future


@dataclass(frozen=True, slots=True)
class _Held:
    """The shard as the store has it under `version`."""

    version: int
    shard: ClaimShard


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
        self._held = None
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
        is_fresh = self._held is None
        read = await self._read()
        if read.is_err():
            return read
        held = read.unwrap()
        # Held on to again only once the store is known to have the same state.
        self._held = None
        outcomes = self._apply(held.shard, operations)
        if not held.shard.is_changed and not is_fresh:
            # What others wrote since shows only in a fresh read.
            return await self._try(operations)
        written = await self._write(held)
        if written.is_err():
            return written
        if is_fresh and self._place.is_dated and Granted() in outcomes:
            return await self._above_floor(written.unwrap(), outcomes)
        self._held = written.unwrap()
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
        self._held = written
        return Ok(outcomes)

    def _apply(self, shard: ClaimShard, operations):
        now = self._wall_clock()
        if not self._place.is_dated:
            shard.drop_expired(now, self._retention.seconds)
        return [shard.apply(operation, now) for operation in operations]

    async def _read(self) -> Result[_Held, StoreError]:
        if self._held is not None:
            return Ok(self._held)
        read = await self._client.get(self._key)
        return read.and_then(self._decoded)

    def _decoded(self, stored) -> Result[_Held, StoreError]:
        shard = decode_shard(stored.value)
        if shard.is_err():
            return Err(Unavailable(self._key, shard.unwrap_err()))
        return Ok(_Held(stored.version, shard.unwrap()))

    async def _write(self, held) -> Result[_Held, StoreError]:
        if not held.shard.is_changed:
            return Ok(held)
        value = encode_shard(held.shard)
        written = await self._client.put(self._key, value, held.version)
        held.shard.is_changed = False
        return written.map(lambda stored: _Held(stored.version, held.shard))

    def _delay(self, number, last):
        backoff = CONFLICT_BACKOFF if isinstance(last, Conflict) else FAILURE_BACKOFF
        return backoff.delay(number, self._rng)
