"""Claims while the platform's store comes back from an older copy."""

import asyncio
from random import Random

import pytest

from wharf_coordination import Code, Ran
from wharf_coordination.claims import (
    Claim,
    ClaimPlace,
    ClaimUnit,
    Granted,
    StoreEra,
)
from wharf_platform.claims import ClaimStore
from wharf_platform.claims.claim_eras import ClaimEras
from wharf_standins.claims_trial import ClaimsSite, ClaimsTrial
from wharf_standins.faulty_store import FaultyStore

NOW = 1_764_827_506.0
KEY = "1764827506-hold"
UNDATED = "hold"
WHEN_DATED_SECONDS = 6.0
RUN_SECONDS = 20.0
NOTICE_SECONDS = 4.0
SETTLED_SECONDS = 60.0
HOUR_SECONDS = 3600.0

resends = pytest.mark.parametrize("resend_at", [0, 1], ids=["same", "other"])
keys = pytest.mark.parametrize("key", [KEY, UNDATED])
restorations = pytest.mark.parametrize("times", [1, 2], ids=["once", "twice"])


@pytest.fixture
async def site():
    site = ClaimsSite()
    # Keys are dated in the past when they come, as callers' keys are.
    await asyncio.sleep(WHEN_DATED_SECONDS)
    yield site
    for process in site.processes():
        process.kill()


async def restore(site, copy, times=1, notice=True):
    """Put `copy` back; with `notice`, all processes see it by another call."""
    for _ in range(times):
        site.store.restore(copy)
        await asyncio.sleep(0.05)
        if notice:
            await notice_era(site)


async def notice_era(site):
    for entry in site.entries:
        if not entry.process.is_cut:
            await asyncio.wait_for(entry.store_view.get("any"), 1.0)
    await asyncio.sleep(NOTICE_SECONDS)


async def start(site, key=KEY, seconds=RUN_SECONDS):
    """Return a submission at entry 0 whose stage has started."""
    for entry in site.entries:
        entry.stages.seconds = seconds
    first = asyncio.ensure_future(site.submit(0, "a", key, seconds=60.0))
    while not site.ids_by_key[key]:
        await asyncio.sleep(0.001)
    return first


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.001)


def claim_objects(site):
    return [key for key in site.store.object_by_key if "/shards/" in key]


def is_unknown(result):
    refusal = result.err()
    return refusal is not None and (refusal.code, refusal.ran) == (
        Code.OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
    )


def is_answer_or_unknown(result):
    return result.ok() == b"answer a" or is_unknown(result)


# Guards against a lost claim that lets its stage run again while it still runs.
@keys
@resends
@restorations
@pytest.mark.parametrize("notice", [True, False])
async def test_claim_lost_during_its_run_is_not_taken(
    site, key, resend_at, times, notice
):
    copy = site.store.copy()
    first = await start(site, key)
    await restore(site, copy, times, notice)
    assert is_answer_or_unknown(await site.submit(resend_at, "b", key))
    assert (await first).unwrap() == b"answer a"
    await asyncio.sleep(1.0)
    assert is_answer_or_unknown(await site.submit(resend_at, "c", key))
    assert site.ids_by_key[key] == ["a"]


# Guards against a resend that is told "unknown" though the answer is known.
@keys
@resends
@restorations
async def test_answer_lost_with_its_claim_is_written_again(site, key, resend_at, times):
    copy = site.store.copy()
    await (await start(site, key))
    await asyncio.sleep(1.0)
    await restore(site, copy, times)
    assert (await site.submit(resend_at, "b", key)).unwrap() == b"answer a"
    assert site.ids_by_key[key] == ["a"]


# Guards against an outcome that is lost while the claim is in the copy.
@keys
@resends
@restorations
async def test_answer_lost_without_its_claim_is_written_again(
    site, key, resend_at, times
):
    first = await start(site, key)
    copy = site.store.copy()
    await first
    await asyncio.sleep(1.0)
    await restore(site, copy, times)
    assert (await site.submit(resend_at, "b", key)).unwrap() == b"answer a"
    assert site.ids_by_key[key] == ["a"]


# Guards against a claim that is granted by a write that the store has lost.
@resends
@pytest.mark.parametrize("milliseconds", range(0, 24, 2))
async def test_store_restored_while_the_claim_is_written(site, resend_at, milliseconds):
    copy = site.store.copy()
    first = asyncio.ensure_future(site.submit(0, "a", KEY))
    await asyncio.sleep(milliseconds / 1000)
    site.store.restore(copy)
    results = [await first, await site.submit(resend_at, "b", KEY)]
    assert len(site.ids_by_key[KEY]) <= 1
    for id, result in zip("ab", results, strict=True):
        assert result.is_ok() or id not in site.ids_by_key[KEY]


# Guards against a holder that starts late, after another was granted its lost claim.
@keys
async def test_holder_frozen_before_its_start(site, key):
    copy = site.store.copy()
    first = asyncio.ensure_future(site.submit(0, "a", key, seconds=600.0))
    await until(lambda: claim_objects(site))
    site.entries[0].process.freeze()
    site.store.restore(copy)
    await asyncio.sleep(SETTLED_SECONDS)
    assert is_unknown(await site.submit(1, "b", key))
    site.entries[0].process.thaw()
    await first
    assert len(site.ids_by_key[key]) <= 1
    assert "b" not in site.ids_by_key[key]


# Guards against a lost claim that nobody holds any more.
@keys
@restorations
@pytest.mark.parametrize("ends", ["during", "after"])
async def test_holder_killed(site, key, times, ends):
    copy = site.store.copy()
    first = await start(site, key)
    if ends == "after":
        await first
    await restore(site, copy, times, notice=False)
    site.restart_entry(0)
    for entry in range(3):
        assert is_answer_or_unknown(await site.submit(entry, f"b{entry}", key))
    assert site.ids_by_key[key] == ["a"]


@keys
@restorations
async def test_all_who_know_are_gone(site, key, times):
    copy = site.store.copy()
    await (await start(site, key))
    for number in range(3):
        site.restart_entry(number)
    for name in tuple(site.sidecar_by_name):
        site.restart_sidecar(name)
    await restore(site, copy, times)
    await asyncio.sleep(SETTLED_SECONDS)
    assert is_unknown(await site.submit(1, "b", key))
    assert site.ids_by_key[key] == ["a"]


@resends
async def test_holder_cut_off_from_the_store(site, resend_at):
    copy = site.store.copy()
    first = await start(site)
    site.entries[0].process.is_cut = True
    for sidecar in site.sidecar_by_name.values():
        sidecar.process.is_cut = True
    await restore(site, copy)
    assert is_unknown(await site.submit(1, "b", KEY))
    await first
    site.entries[0].process.is_cut = False
    for sidecar in site.sidecar_by_name.values():
        sidecar.process.is_cut = False
    await notice_era(site)
    await asyncio.sleep(5.0)
    assert (await site.submit(resend_at, "c", KEY)).unwrap() == b"answer a"
    assert site.ids_by_key[KEY] == ["a"]


async def test_writers_write_again_what_a_killed_entry_had_claimed(site):
    copy = site.store.copy()
    await (await start(site))
    await asyncio.sleep(1.0)
    site.restart_entry(0)
    await restore(site, copy)
    assert (await site.submit(1, "b", KEY)).unwrap() == b"answer a"


async def test_entry_writes_again_what_killed_writers_had_written(site):
    copy = site.store.copy()
    await (await start(site))
    await asyncio.sleep(1.0)
    for name in tuple(site.sidecar_by_name):
        site.restart_sidecar(name)
    await restore(site, copy)
    assert (await site.submit(1, "b", KEY)).unwrap() == b"answer a"


async def test_claims_of_shared_commits_are_written_again_in_few_calls(site):
    copy = site.store.copy()
    requests = [(number % 3, f"a{number}", f"{KEY}-{number}") for number in range(60)]
    sent = await asyncio.gather(*(site.submit(*request) for request in requests))
    await asyncio.sleep(1.0)
    site.store.restore(copy)
    site.store.calls.clear()
    await notice_era(site)
    assert site.store.calls["put"] <= 40
    resent = [
        await site.submit((entry + 1) % 3, f"b{id}", key) for entry, id, key in requests
    ]
    assert [result.unwrap() for result in resent] == [r.unwrap() for r in sent]
    assert all(len(ids) == 1 for ids in site.ids_by_key.values())


# Guards against a "not run" that comes back as claimed and is then taken for free.
@keys
@resends
async def test_released_claim_that_comes_back_as_claimed(site, key, resend_at):
    site.entries[0].stages.ends = ("not run",)
    first = asyncio.ensure_future(site.submit(0, "a", key))
    await until(lambda: claim_objects(site))
    copy = site.store.copy()
    assert (await first).unwrap_err().ran is Ran.NO
    await asyncio.sleep(1.0)
    assert (await site.submit(1, "b", key)).unwrap() == b"answer b"
    await asyncio.sleep(1.0)
    await restore(site, copy)
    site.entries[0].stages.ends = ("answer",)
    result = await site.submit(resend_at, "c", key)
    assert result.ok() == b"answer b" or is_unknown(result)
    assert site.ids_by_key[key] == ["b"]


# Guards against a release in the copy that hides a claim made after it.
@keys
@resends
async def test_claim_after_a_release_in_the_copy(site, key, resend_at):
    site.entries[0].stages.ends = ("not run",)
    assert (await site.submit(0, "a", key)).unwrap_err().ran is Ran.NO
    await asyncio.sleep(1.0)
    copy = site.store.copy()
    assert (await site.submit(1, "b", key)).is_ok()
    site.restart_entry(1)
    for name in tuple(site.sidecar_by_name):
        site.restart_sidecar(name)
    await restore(site, copy)
    site.entries[0].stages.ends = ("answer",)
    assert is_unknown(await site.submit(resend_at, "c", key))
    assert site.ids_by_key[key] == ["b"]


@resends
async def test_large_answer_that_is_lost_is_unknown(site, resend_at):
    copy = site.store.copy()
    site.entries[0].stages.padding = bytes(2000)
    assert (await site.submit(0, "a", KEY)).is_ok()
    await asyncio.sleep(1.0)
    await restore(site, copy)
    result = await site.submit(resend_at, "b", KEY)
    assert result.is_ok() or result.unwrap_err().ran is Ran.UNKNOWN
    assert site.ids_by_key[KEY] == ["a"]


async def test_new_keys_are_granted_soon_after_a_restoration(site):
    await site.submit(0, "a", KEY)
    await restore(site, site.store.copy(), times=2)
    await asyncio.sleep(20.0)
    now = int(site.entries[1].process.wall_clock())
    assert (await site.submit(1, "b", f"{now}-hold")).unwrap() == b"answer b"


async def test_undated_keys_are_granted_an_hour_after_a_restoration(site):
    await restore(site, site.store.copy())
    assert is_unknown(await site.submit(1, "b", UNDATED))
    await asyncio.sleep(HOUR_SECONDS + SETTLED_SECONDS)
    assert (await site.submit(1, "c", UNDATED)).unwrap() == b"answer c"


# Guards against a key from the future, which would count as new after a restoration.
async def test_key_is_claimed_no_earlier_than_its_date_allows(site):
    now = int(site.entries[0].process.wall_clock())
    early = asyncio.ensure_future(site.submit(0, "a", f"{now + 8}-hold", seconds=9.0))
    await asyncio.sleep(4.0)
    assert not site.ids_by_key
    assert (await early).unwrap() == b"answer a"


async def test_key_dated_after_its_deadline_is_refused_as_not_run(site):
    now = int(site.entries[0].process.wall_clock())
    refusal = (await site.submit(0, "a", f"{now + 60}-hold")).unwrap_err()
    assert (refusal.code, refusal.ran) == (Code.BAD_HEADER, Ran.NO)


# Guards against a write on a version of the former era that was given out again.
async def test_version_given_out_again_replaces_no_claims():
    store = FaultyStore(Random(1))
    writers = [
        ClaimStore(store, Random(n), interval=0, wall_clock=lambda: NOW)
        for n in range(3)
    ]
    units = [ClaimUnit("acme", "hold", f"{KEY}-{n}", "book") for n in range(100)]
    place = ClaimPlace.of(units[0])
    lost, second, third, *_ = (unit for unit in units if ClaimPlace.of(unit) == place)

    async def claim(writer, unit):
        operation = Claim(unit.digest, f"token-{writer}", b"body")
        return (await writers[writer].apply(place, operation)).ok() == Granted()

    assert await claim(0, lost)
    copy = (0, {})
    store.restore(copy)
    # The copy's next version is the one that the first writer has cached.
    grants = [await claim(1, second), await claim(0, third), await claim(2, second)]
    assert sum(grants[::2]) <= 1
    assert not await claim(2, lost)


@pytest.mark.parametrize("seed", range(1, 25))
async def test_no_key_runs_twice_under_faults_and_restorations(seed):
    trial = ClaimsTrial(seed)
    await trial.run()
    assert not trial.findings
    assert trial.counts["answered"]


async def test_grants_of_keys_in_doubt_are_detected(monkeypatch):
    monkeypatch.setattr(StoreEra, "may_have_lost", lambda *_: False)
    trials = [ClaimsTrial(seed) for seed in range(1, 9)]
    for trial in trials:
        await trial.run()
    assert any("was run by" in finding for t in trials for finding in t.findings)


async def test_claims_that_trust_any_era_are_detected(monkeypatch):
    monkeypatch.setattr(ClaimEras, "observe", lambda *_: None)
    monkeypatch.setattr(ClaimEras, "is_current", lambda *_: True)
    trials = [ClaimsTrial(seed) for seed in range(1, 9)]
    for trial in trials:
        await trial.run()
    assert any("was run by" in finding for t in trials for finding in t.findings)
