"""Execution of non-idempotent stages under a claim in the store."""

import asyncio
from dataclasses import replace
from random import Random

from result import Err, Ok, Result

from wharf_coordination import Backoff, Code, Ran, Refusal
from wharf_coordination.claims import (
    Claim,
    ClaimPlace,
    ClaimUnit,
    Full,
    Granted,
    InProgress,
    KeyExpired,
    KeyReused,
    OutcomeUnknown,
    Recorded,
    Superseded,
    body_digest,
)
from wharf_daemon.entry.detachable_sink import DetachableSink
from wharf_daemon.entry.stage_task import StageTask
from wharf_platform import Unavailable
from wharf_platform.claims import ClaimRecorder, ClaimStore

__all__ = ["ClaimedStageRunner"]

WAIT_BACKOFF = Backoff(first=0.02, longest=0.5)


class ClaimedStageRunner:
    """Claim non-idempotent stages of requests with an idempotency key.

    All other stages run without a claim. `ran` in a refusal refers to this
    submission of the request only: "no" means that this submission started
    nothing. The result of an earlier submission with the same key is reported by
    its recorded answer or as "unknown".
    """

    def __init__(
        self, stage_runner, store: ClaimStore, recorder: ClaimRecorder, rng: Random
    ):
        self._stage_runner = stage_runner
        self._store = store
        self._recorder = recorder
        self._rng = rng
        self._runs = set()

    async def run(self, task: StageTask) -> Result[bytes, Refusal]:
        """Return the stage's complete answer, or a refusal."""
        if task.stage.idempotent or task.request.key is None:
            return await self._stage_runner.run(task)
        key = task.request.key
        allowed = self._store.retention.check(key, self._store.wall_clock())
        if allowed.is_err():
            return allowed
        if not await self._wait_for_date(task):
            detail = "the key is dated later than the deadline"
            return Err(Refusal.not_run(Code.BAD_HEADER, detail))
        unit = ClaimUnit(
            task.request.customer, task.request.pipeline, key, task.stage.name
        )
        claim = Claim(unit.digest, task.request.id, body_digest(task.request.body))
        return await self._claim_and_run(task, ClaimPlace.of(unit), claim)

    async def drain(self, seconds):
        """Wait for claimed stages that still run, then for their records.

        Waits at most `seconds` in total.
        """
        deadline = self._now() + seconds
        if self._runs:
            await asyncio.wait(self._runs, timeout=seconds)
        await self._recorder.drain(max(0.0, deadline - self._now()))

    async def _wait_for_date(self, task):
        wait = self._store.retention.wait(task.request.key, self._store.wall_clock())
        if wait and wait >= task.request.deadline.left(self._now()):
            return False
        if wait:
            await asyncio.sleep(wait)
        return True

    async def _claim_and_run(self, task, place, claim):
        polls = 0
        while True:
            outcome = await self._claim(task, place, claim)
            if outcome.is_err():
                refusal = outcome.unwrap_err()
                # After a poll, another request is known to have held the claim, so it
                # may have run.
                ran = Ran.UNKNOWN if polls else refusal.ran
                return Err(replace(refusal, ran=ran))
            match outcome.unwrap():
                case Granted():
                    self._recorder.hold(place, claim)
                    return await self._run_detached(task, place, claim)
                case InProgress(token=token):
                    polls += 1
                    delay = WAIT_BACKOFF.delay(polls, self._rng)
                    left = task.request.deadline.left(self._now())
                    if left <= delay:
                        return _unknown_outcome(f"request {token} is still running")
                    await asyncio.sleep(delay)
                case Recorded(answer=answer, answer_key=key):
                    return await self._replay(task, answer, key)
                case KeyExpired() as expired:
                    # The key is past its retention, so the new claim must not stay.
                    self._recorder.release(place, claim)
                    return Err(_refusal(expired))
                case other:
                    return Err(_refusal(other))

    async def _claim(self, task, place, claim):
        left = task.request.deadline.left(self._now())
        try:
            async with asyncio.timeout(left):
                outcome = await self._store.apply(place, claim)
        except TimeoutError:
            self._recorder.release(place, claim)
            return Err(
                Refusal.not_run(Code.DEADLINE_PASSED, "claim not confirmed in time")
            )
        except asyncio.CancelledError:
            self._recorder.release(place, claim)
            raise
        if outcome.is_ok():
            return outcome
        error = outcome.unwrap_err()
        if not isinstance(error, Unavailable):
            # The claim may have been written, but nothing was started under it.
            self._recorder.release(place, claim)
        return Err(Refusal.not_run(Code.STORE_UNAVAILABLE, str(error)))

    async def _run_detached(self, task, place, claim):
        # The stage goes on when its caller disconnects, so that a resend gets the
        # answer rather than "unknown".
        sink = DetachableSink(task.on_chunks)
        if task.streaming:
            task = replace(task, on_chunks=sink.send)
        run = asyncio.create_task(self._run_and_record(task, place, claim))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        try:
            return await asyncio.shield(run)
        except asyncio.CancelledError:
            sink.detach()
            raise

    async def _run_and_record(self, task, place, claim):
        try:
            result = await self._stage_runner.run(task)
        except Exception:
            self._recorder.give_up(place, claim)
            raise
        match result:
            case Ok(answer):
                self._recorder.finish(place, claim, answer)
            case Err(Refusal(ran=Ran.NO)):
                self._recorder.release(place, claim)
            case Err(_):
                self._recorder.give_up(place, claim)
        return result

    async def _replay(self, task, answer, key):
        if key:
            read = await self._store.get_answer(key)
            if read.is_err():
                return _unknown_outcome(f"has run, answer unreadable: {read.err()}")
            answer = read.unwrap().value if read.unwrap().exists else None
        if answer is None:
            detail = "has run, but its answer was too large to keep"
            return Err(Refusal.unknown(Code.ANSWER_TOO_LARGE, detail))
        if task.streaming:
            await task.on_chunks([answer])
        return Ok(answer)

    def _now(self):
        return asyncio.get_running_loop().time()


def _unknown_outcome(detail):
    return Err(Refusal.unknown(Code.OUTCOME_UNKNOWN, detail))


def _refusal(outcome) -> Refusal:
    match outcome:
        case OutcomeUnknown():
            detail = "an earlier request with this key may have run"
            return Refusal.unknown(Code.OUTCOME_UNKNOWN, detail)
        case KeyReused():
            detail = "the key was used with a different body"
            return Refusal.not_run(Code.KEY_REUSED, detail)
        case KeyExpired():
            return Refusal.unknown(Code.KEY_EXPIRED, "the key is past its retention")
        case Full():
            return Refusal.not_run(Code.STORE_UNAVAILABLE, "the claim shard is full")
        case Superseded():
            detail = "the claim was released before it was granted"
            return Refusal.not_run(Code.STORE_UNAVAILABLE, detail)
