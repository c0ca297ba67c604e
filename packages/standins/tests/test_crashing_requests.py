"""A request that crashes upstreams, on loopback."""

import asyncio

import pytest

from wharf_coordination import Code
from wharf_daemon.crash_records import CrashRecords
from wharf_daemon.fact_feed import FactFeed
from wharf_standins.crashing_engine import CRASHING_TEXT, CrashingEngine
from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
SHAPE = {"model": ("dc-1",) * 6}
NEIGHBOURS = 6
WAITING = 5  # As many retries as an entry may make right after its start.
RESENDS = 4


@pytest.fixture
def system():
    return Loopback(SHAPE, PIPELINES, entries=2, engine_type=CrashingEngine)


async def ask(system, entry, text, key):
    url = f"{system.entry_url(entry)}/v1/pipelines/ask"
    headers = {"Customer": "acme", "Idempotency-Key": key}
    async with system.session.post(url, json=text, headers=headers) as response:
        return await response.json()


async def resend(system):
    """Send the crashing request again and again, to one entry and the other."""
    return [
        (await ask(system, number % 2, CRASHING_TEXT, f"key-{number}")).get("code")
        for number in range(RESENDS)
    ]


def runs(system):
    return sum(len(engine.runs) for engine in system.engine_by_name.values())


def crashes(system):
    return sum(engine.crashes for engine in system.engine_by_name.values())


async def test_crashing_request_is_condemned_and_neighbours_are_answered(system):
    async with system:
        codes, *answers = await asyncio.gather(
            resend(system),
            *(ask(system, 0, f"note {n}", f"n-{n}") for n in range(NEIGHBOURS)),
        )
        assert crashes(system) == 2
        assert codes == [Code.REQUEST_CONDEMNED] * RESENDS
        assert [answer["echo"] for answer in answers] == [
            f"note {n}" for n in range(NEIGHBOURS)
        ]


async def test_condemnation_refuses_before_any_run(system):
    async with system:
        await resend(system)
        before = runs(system)
        refusal = await ask(system, 1, CRASHING_TEXT, "other")
        assert (refusal["code"], refusal["ran"]) == (Code.REQUEST_CONDEMNED, "no")
        assert runs(system) == before


async def test_unshared_facts_let_the_request_crash_more(system, monkeypatch):
    monkeypatch.setattr(FactFeed, "receive", lambda feed, message: None)
    monkeypatch.setattr(CrashRecords, "suspect", without_news)
    async with system:
        await resend(system)
        assert crashes(system) > 2


def without_news(ledger, suspicion):
    """Return the message of a suspicion that nobody else is told."""
    fact = suspicion.to_fact()
    ledger._suspects.observe(fact, ledger._now(), 600.0)
    return CrashRecords.message(suspicion)


async def test_neighbours_that_wait_for_each_other_are_all_answered(system):
    async with system:
        for engine in system.engine_by_name.values():
            engine.batch.service_time = 0.2
        asks = [
            asyncio.create_task(ask(system, 0, f"note {n}", f"n-{n}"))
            for n in range(WAITING)
        ]
        async with asyncio.timeout(5):
            while runs(system) < WAITING:
                await asyncio.sleep(0.001)
        busy = [engine for engine in system.engine_by_name.values() if engine.runs]
        for engine in busy[:-1]:
            engine.crash()
        async with asyncio.timeout(5):
            answers = await asyncio.gather(*asks)
        assert [answer.get("echo", answer) for answer in answers] == [
            f"note {n}" for n in range(WAITING)
        ]
