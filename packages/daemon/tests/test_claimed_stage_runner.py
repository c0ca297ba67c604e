"""Claimed stages on several entries that share a faulty store."""

import asyncio
from collections import defaultdict
from random import Random

import pytest
from result import Err, Ok

from wharf_coordination import Code, Deadline, Priority, Ran, Refusal
from wharf_coordination.claims import Granted
from wharf_daemon.entry.claimed_stage_runner import ClaimedStageRunner
from wharf_daemon.entry.request import Request
from wharf_daemon.entry.stage_task import StageTask
from wharf_platform.claims import ClaimPurger, ClaimRecorder, ClaimStore
from wharf_platform.configuration import Stage
from wharf_standins.faulty_store import FaultyStore

NOW = 1_764_827_506.0
KEY = "1764827506-hold"
BOOK = Stage(name="book", pool="desk", idempotent=False)


class FakeStageRunner:
    """Record each start and end with one of `ends`, chosen at random."""

    def __init__(self, rng, ends=("answer",)):
        self._rng = rng
        self._ends = ends
        self.starts_by_key = defaultdict(list)

    async def run(self, task):
        end = self._rng.choice(self._ends)
        if end == "not run":
            return Err(Refusal.not_run(Code.UPSTREAM_FULL))
        self.starts_by_key[task.request.key].append(task.request.id)
        await asyncio.sleep(0.01)
        if end == "unknown":
            return Err(Refusal.unknown(Code.LINK_LOST))
        if task.on_chunks:
            await task.on_chunks([b"answer "])
        return Ok(f"answer {task.request.id}".encode())


class Entries:
    """Claimed stage runners of several entries over one store."""

    def __init__(self, store, stages, count=3, runner_type=ClaimedStageRunner):
        self.runners = []
        self.claim_stores = []
        for number in range(count):
            rng = Random(number)
            claim_store = ClaimStore(store, rng, interval=0, wall_clock=lambda: NOW)
            recorder = ClaimRecorder(claim_store, rng)
            self.claim_stores.append(claim_store)
            self.runners.append(runner_type(stages, claim_store, recorder, rng))

    async def submit(self, entry, id, key=KEY, body=b"{}", seconds=3.0, on_chunks=None):
        now = asyncio.get_running_loop().time()
        deadline = Deadline.after(seconds, now)
        streaming = on_chunks is not None
        request = Request(
            id, "hold", "acme", Priority.URGENT, deadline, key, streaming, body
        )
        return await self.runners[entry].run(StageTask(request, BOOK, body, on_chunks))

    async def drain(self):
        await asyncio.gather(*(runner.drain(5.0) for runner in self.runners))


@pytest.fixture
def store():
    return FaultyStore(Random(1))


@pytest.fixture
def stages():
    return FakeStageRunner(Random(1))


@pytest.fixture
def entries(store, stages):
    return Entries(store, stages)


async def check_history(seed, runner_type=ClaimedStageRunner, conditional=True):
    """Submit resends to random entries under faults and check the results."""
    rng = Random(seed)
    store = FaultyStore(rng, loss=0.2, refusal=0.05, conditional=conditional)
    stages = FakeStageRunner(rng, ("answer", "answer", "not run", "unknown"))
    entries = Entries(store, stages, runner_type=runner_type)

    async def submit(number):
        await asyncio.sleep(rng.random() * 0.1)
        key = f"{KEY}-{number % 12}"
        return await entries.submit(rng.randrange(3), str(number), key, seconds=0.4)

    results = await asyncio.gather(*(submit(number) for number in range(48)))
    await entries.drain()
    started = [id for ids in stages.starts_by_key.values() for id in ids]
    for key, ids in stages.starts_by_key.items():
        assert len(ids) == 1, f"{key} was started by {ids}"
    answers_by_key = defaultdict(set)
    for number, result in enumerate(results):
        if result.is_ok():
            answers_by_key[number % 12].add(result.unwrap())
        elif result.unwrap_err().ran is Ran.NO:
            assert str(number) not in started, (
                f"{number} ran but was reported as not run"
            )
    assert all(len(answers) == 1 for answers in answers_by_key.values())
    return results


class RunsBeforeClaim(ClaimedStageRunner):
    """Deliberately broken: claim only after the run."""

    async def _claim_and_run(self, task, place, claim):
        result = await self._stage_runner.run(task)
        await self._claim(task, place, claim)
        return result


class ReleasesAfterFailure(ClaimedStageRunner):
    """Deliberately broken: release the claim after any failure."""

    async def _run_and_record(self, task, place, claim):
        result = await self._stage_runner.run(task)
        if result.is_err():
            self._recorder.release(place, claim)
            return Err(Refusal.not_run(result.unwrap_err().code))
        self._recorder.finish(place, claim, result.unwrap())
        return result


class RunsOnUnknownClaim(ClaimedStageRunner):
    """Deliberately broken: run although the outcome of the claim is unknown."""

    async def _claim(self, task, place, claim):
        outcome = await super()._claim(task, place, claim)
        return Ok(Granted()) if outcome.is_err() else outcome


@pytest.mark.parametrize("seed", range(8))
async def test_history_under_faults(seed):
    results = await check_history(seed)
    assert any(result.is_ok() for result in results)


async def test_run_before_claim_is_detected():
    with pytest.raises(AssertionError, match="was started by"):
        await check_history(0, RunsBeforeClaim)


async def test_release_after_start_is_detected():
    with pytest.raises(AssertionError, match="started by|reported as not run"):
        await check_history(0, ReleasesAfterFailure)


async def test_run_with_unknown_claim_is_detected():
    with pytest.raises(AssertionError, match="was started by"):
        await check_history(0, RunsOnUnknownClaim)


async def test_store_without_conditional_writes_is_detected():
    with pytest.raises(AssertionError, match="was started by"):
        for seed in range(8):
            await check_history(seed, conditional=False)


async def test_concurrent_resends_get_the_same_answer(entries, stages):
    runs = (entries.submit(number % 3, str(number)) for number in range(6))
    answers = {result.unwrap() for result in await asyncio.gather(*runs)}
    assert len(answers) == 1
    assert len(stages.starts_by_key[KEY]) == 1


async def test_unavailable_store_refuses_at_once_as_not_run(entries, store):
    store.down = True
    refusal = (await entries.submit(0, "a")).unwrap_err()
    assert (refusal.code, refusal.ran) == (Code.STORE_UNAVAILABLE, Ran.NO)
    assert store.calls["get"] == 1


async def test_claim_with_unknown_write_is_released_for_a_resend(
    entries, store, stages
):
    store.loss = 2.0
    first = asyncio.create_task(entries.submit(0, "a", seconds=0.2))
    while not store.calls["put"]:
        await asyncio.sleep(0)
    store.down, store.loss = True, 0.0
    assert (await first).unwrap_err().ran is Ran.NO
    assert not stages.starts_by_key
    store.down = False
    assert (await entries.submit(1, "b")).is_ok()
    assert stages.starts_by_key[KEY] == ["b"]


async def test_lost_claimant_leaves_the_outcome_unknown(entries, stages):
    lost = asyncio.create_task(entries.submit(0, "a"))
    stages.run = lambda task: asyncio.sleep(3600)
    await asyncio.sleep(0.05)
    refusal = (await entries.submit(1, "b", seconds=0.2)).unwrap_err()
    assert (refusal.code, refusal.ran) == (Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    lost.cancel()


async def test_disconnected_caller_gets_the_answer_by_a_resend(entries, stages):
    first = asyncio.create_task(entries.submit(0, "a"))
    while not stages.starts_by_key:
        await asyncio.sleep(0)
    first.cancel()
    assert (await entries.submit(1, "b")).unwrap() == b"answer a"


async def test_stream_is_replayed_as_one_chunk(entries):
    chunks = []

    async def collect(bodies):
        chunks.extend(bodies)

    await entries.submit(0, "a", on_chunks=collect)
    await entries.drain()
    await entries.submit(1, "b", on_chunks=collect)
    assert chunks == [b"answer ", b"answer a"]


async def test_large_answer_is_stored_separately(entries, stages):
    async def run(task):
        return Ok(bytes(5000))

    stages.run = run
    await entries.submit(0, "a")
    await entries.drain()
    assert (await entries.submit(1, "b")).unwrap() == bytes(5000)


async def test_key_reused_with_another_body_is_refused(entries):
    await entries.submit(0, "a", body=b"1")
    refusal = (await entries.submit(1, "b", body=b"2")).unwrap_err()
    assert refusal.code is Code.KEY_REUSED


async def test_expired_key_is_refused_without_a_store_call(entries, store):
    refusal = (await entries.submit(0, "a", key="1764800000-hold")).unwrap_err()
    assert (refusal.code, refusal.ran) == (Code.KEY_EXPIRED, Ran.UNKNOWN)
    assert not store.calls


async def test_entry_with_a_slow_clock_does_not_run_a_deleted_claim(
    entries, store, stages
):
    assert (await entries.submit(0, "a")).is_ok()
    await entries.drain()
    purger = ClaimPurger(entries.claim_stores[1], None)
    assert (await purger.purge(NOW + 4000.0)).unwrap() == 1
    for entry in range(3):
        refusal = (await entries.submit(entry, f"b{entry}")).unwrap_err()
        assert refusal.code is Code.KEY_EXPIRED
    assert stages.starts_by_key[KEY] == ["a"]
