"""Background recording of the results of claims, with retries."""

import asyncio
from random import Random

from result import Err, Ok, Result

from wharf_coordination import Backoff
from wharf_coordination.claims import (
    ClaimOperation,
    ClaimPlace,
    Finish,
    GiveUp,
    Hold,
    Release,
)
from wharf_coordination.claims.claim_shard import MAX_INLINE_ANSWER_BYTES
from wharf_platform.claims.claim_memory import ClaimMemory
from wharf_platform.claims.claim_store import ClaimStore
from wharf_platform.store_error import StoreError

__all__ = ["ClaimRecorder"]

MAX_STORED_ANSWER_BYTES = 1 << 20
AGAIN_SPREAD_SECONDS = 3.0
BACKOFF = Backoff(first=0.1, longest=5.0)


class ClaimRecorder:
    """Record the results of claims, retrying each until the store accepts it.

    All that it knows of recent claims is recorded again when the store comes back
    from a copy, which may lack it.
    """

    def __init__(self, store: ClaimStore, rng: Random):
        self._store = store
        self._rng = rng
        self._tasks = set()
        self._memory = ClaimMemory()
        store.eras.changes.subscribe(self._record_again)

    @property
    def pending(self):
        """Return the number of results that are not stored yet."""
        return len(self._tasks)

    def hold(self, place: ClaimPlace, claim):
        """Remember that a claim was granted."""
        hold = Hold(claim.digest, claim.token, claim.body)
        self._memory.add(place, hold, self._now())

    def finish(self, place: ClaimPlace, claim, answer):
        """Record the answer of a claimed unit that ran."""
        self._start(self._finish(place, claim, answer))

    def give_up(self, place: ClaimPlace, claim):
        """Record that it stays unknown whether a claimed unit ran."""
        give_up = GiveUp(claim.digest, claim.token, claim.body)
        self._start(self._record(place, give_up))

    def release(self, place: ClaimPlace, claim):
        """Release the claim of a unit that certainly did not run."""
        release = Release(claim.digest, claim.token, claim.body)
        self._start(self._record(place, release))

    async def drain(self, seconds):
        """Wait at most `seconds` until all results are stored; cancel the rest."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
        for task in self._tasks:
            task.cancel()

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish(self, place, claim, answer):
        finish = Finish(claim.digest, claim.token, claim.body, answer)
        if len(answer) > MAX_INLINE_ANSWER_BYTES:
            key = await self._store_large_answer(place, claim, answer)
            finish = Finish(claim.digest, claim.token, claim.body, None, key)
        await self._record(place, finish)

    async def _store_large_answer(self, place, claim, answer):
        if len(answer) > MAX_STORED_ANSWER_BYTES:
            return ""
        return await self._retry_until_ok(
            lambda: self._store.put_answer(place, claim.digest, answer)
        )

    def _record_again(self, _):
        for place, operation in self._memory.operations():
            self._start(self._apply_again(place, operation))

    async def _apply_again(self, place, operation):
        # The writers restate what they hold at once; this is for what they lack.
        await asyncio.sleep(self._rng.random() * AGAIN_SPREAD_SECONDS)
        await self._apply(place, operation)

    async def _record(self, place, operation: ClaimOperation):
        self._memory.add(place, operation, self._now())
        await self._apply(place, operation)

    async def _apply(self, place, operation):
        await self._retry_until_ok(lambda: self._store.apply(place, operation))

    async def _retry_until_ok(self, call):
        failures = 0
        while True:
            done: Result[object, StoreError] = await call()
            match done:
                case Ok(value):
                    return value
                case Err():
                    failures += 1
                    await asyncio.sleep(BACKOFF.delay(failures, self._rng))

    def _now(self):
        return asyncio.get_running_loop().time()
