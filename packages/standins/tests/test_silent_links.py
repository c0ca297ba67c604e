"""Requests whose sidecar falls silent: it reads nothing for a while, then goes on."""

import asyncio
import json
import socket

import pytest
import pytest_asyncio

from wharf_standins.loopback import Loopback

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
CUSTOMER = {"Customer": "acme"}
# More than the buffers of a link hold.
LARGE = json.dumps("x" * (400 << 10))
SMALL_BUFFER_BYTES = 4 << 10
SILENT_SECONDS = 1.2
DEADLINE_SECONDS = 0.5
GRACE_SECONDS = 0.3
SLACK_SECONDS = 0.8


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as running:
        yield running


@pytest.fixture
def entry(system):
    return system.entries[0]


@pytest.fixture
def sidecar(system):
    return system.sidecar_by_name["model-0"]


@pytest.fixture
def silence(entry, sidecar):
    """Return a function that makes the sidecar read nothing from its only link.

    The function returned by it makes the sidecar go on.
    """

    def begin():
        [link] = entry.links.by_address.values()
        [peer] = sidecar.links
        ours, theirs = link._socket.transport, peer._socket.transport
        end = ours.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        theirs.pause_reading()
        return theirs.resume_reading

    return begin


async def ask(system, body=LARGE, **headers):
    """Return the status and the JSON of the response."""
    url = f"{system.entry_url()}/v1/pipelines/ask"
    async with system.session.post(
        url, data=body, headers=CUSTOMER | headers
    ) as response:
        return response.status, json.loads(await response.text())


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)


# Guards against a request that is given up because its sidecar pauses for a second.
async def test_sidecar_that_goes_on_answers(system, silence):
    go_on = silence()
    asked = asyncio.create_task(ask(system))
    await asyncio.sleep(SILENT_SECONDS)
    assert not asked.done()
    go_on()
    status, _ = await asyncio.wait_for(asked, 5)
    assert status == 200
    assert [run.completed for run in system.engine_by_name["model-0"].runs] == [True]


# Guards against a request that is refused seconds after its deadline since cancelling
# its call waits for the silent sidecar.
async def test_deadline_holds_while_the_sidecar_is_silent(system, silence):
    silence()
    deadline = {"Deadline-Seconds": str(DEADLINE_SECONDS)}
    async with asyncio.timeout(DEADLINE_SECONDS + SLACK_SECONDS):
        status, refusal = await ask(system, **deadline)
    assert (status, refusal["error"]) == (504, "deadline_passed")
    assert refusal["ran"] == "unknown"


# Guards against a request that a stop leaves unanswered since cancelling its call waits
# for the silent sidecar.
async def test_stop_answers_while_the_sidecar_is_silent(system, entry, silence):
    silence()
    asked = asyncio.create_task(ask(system))
    [link] = entry.links.by_address.values()
    await until(lambda: link.in_flight)
    update = {"stop_grace": GRACE_SECONDS}
    entry.settings = entry.settings.model_copy(update=update)
    system.killed.append(entry)
    stopped = asyncio.create_task(entry.stop())
    async with asyncio.timeout(GRACE_SECONDS + SLACK_SECONDS):
        status, refusal = await asked
    assert (status, refusal["error"]) == (504, "outcome_unknown")
    assert refusal["ran"] == "unknown"
    await asyncio.wait_for(stopped, 10)


# Guards against a whole answer that is held back, or lost to the deadline, while the
# entry closes the link to a leaving sidecar that has fallen silent.
async def test_answer_does_not_wait_for_the_link_to_close(
    system, entry, sidecar, silence, monkeypatch
):
    engine = system.engine_by_name["model-0"]
    is_answered = asyncio.Event()

    async def work(record, fault, body):
        await is_answered.wait()

    monkeypatch.setattr(engine, "_work", work)
    asked = asyncio.create_task(ask(system, "1"))
    await until(lambda: engine.runs)
    [link] = entry.links.by_address.values()
    system.killed.append(sidecar)
    stopped = asyncio.create_task(sidecar.stop())
    await until(lambda: link.load.leaving)
    go_on = silence()
    is_answered.set()
    async with asyncio.timeout(SLACK_SECONDS):
        status, _ = await asked
    assert status == 200
    go_on()
    await asyncio.wait_for(stopped, 10)
