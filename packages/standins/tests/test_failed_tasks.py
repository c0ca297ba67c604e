"""Entries and sidecars of which a task has ended by an error."""

import asyncio

import pytest
import pytest_asyncio

from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
LONG_SECONDS = 30.0
DEADLINE_SECONDS = 0.5
SLACK_SECONDS = 1.0
COLD_LIMIT = 2
WAIT_SECONDS = 5.0


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as running:
        yield running


@pytest.fixture
def fail_once(monkeypatch):
    """Return a function that makes the next call of a method raise an error."""

    def replace(owner, name):
        method = getattr(owner, name)

        def fail(*args):
            monkeypatch.setattr(owner, name, method)
            raise RuntimeError(name)

        monkeypatch.setattr(owner, name, fail)

    return replace


async def ask(system, deadline):
    """Return the status and the JSON of the response."""
    url = f"{system.entry_url()}/v1/pipelines/ask"
    headers = {"Customer": "acme", "Deadline-Seconds": str(deadline)}
    async with system.session.post(url, data="1", headers=headers) as response:
        return response.status, await response.json()


async def until(condition):
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.005)


# Guards against requests that wait past their deadline, without an answer, since the
# task that refuses them has ended by an error.
async def test_waiting_request_is_refused_after_an_error(system, fail_once):
    engine, entry = system.engine_by_name["model-0"], system.entries[0]
    engine.batch.service_time = LONG_SECONDS
    running = [asyncio.create_task(ask(system, LONG_SECONDS)) for _ in range(2)]
    await until(lambda: len(engine.runs) == COLD_LIMIT)
    fail_once(entry.admission, "_expire")
    async with asyncio.timeout(DEADLINE_SECONDS + SLACK_SECONDS):
        status, refusal = await ask(system, DEADLINE_SECONDS)
    assert (status, refusal["error"], refusal["ran"]) == (
        503,
        "deadline_too_short",
        "no",
    )
    for task in running:
        task.cancel()


# Guards against an upstream that gets no more calls since an error has ended its link.
async def test_link_is_opened_again_after_an_error(system, fail_once):
    [link] = system.entries[0].links.by_address.values()
    fail_once(link, "_observe_load")
    await until(lambda: not link.is_open)
    await until(lambda: link.is_open)
    assert (await ask(system, WAIT_SECONDS))[0] == 200


# Guards against an upstream that gets no more calls since its sidecar reports no load.
async def test_load_is_reported_after_an_error(system, fail_once):
    sidecar = system.sidecar_by_name["model-0"]
    fail_once(sidecar, "_broadcast_load")
    await until(lambda: sidecar._broadcast_load.__name__ == "_broadcast_load")
    reported = []
    [peer] = sidecar.links
    peer.report = reported.append
    await until(lambda: reported)
