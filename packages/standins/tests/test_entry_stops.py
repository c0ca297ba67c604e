"""Stops of an entry whose requests can't all end within its grace."""

import asyncio
import json

import aiohttp
import pytest
import pytest_asyncio

from wharf_standins.loopback import Loopback

PIPELINES = {
    "ask": {
        "stages": [{"name": "answer", "pool": "model"}],
        "max_deadline": 60,
    }
}
CUSTOMER = {"Customer": "acme"}
STREAM = CUSTOMER | {"Accept": "text/event-stream"}
LONG_SECONDS = 40.0
RUN_SECONDS = 0.5
GRACE_SECONDS = 1.0
ANSWER_SECONDS = 4.0
COLD_LIMIT = 2


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1",)}, PIPELINES) as running:
        yield running


@pytest.fixture
def entry(system):
    return system.entries[0]


@pytest.fixture
def engine(system):
    return system.engine_by_name["model-0"]


@pytest.fixture
def stop(entry, system):
    """Return a function that stops the entry as a task."""

    def begin(grace=GRACE_SECONDS, drain_delay=0.0):
        update = {"stop_grace": grace, "drain_delay": drain_delay}
        entry.settings = entry.settings.model_copy(update=update)
        system.killed.append(entry)
        return asyncio.create_task(entry.stop())

    return begin


@pytest_asyncio.fixture
async def post(system):
    """Return a function that starts a request as a task.

    The task returns the status and the text of the response.
    """
    tasks = []
    url = f"{system.entry_url()}/v1/pipelines/ask"

    async def ask(headers):
        deadline = {"Deadline-Seconds": str(LONG_SECONDS)}
        async with system.session.post(url, json=1, headers=headers | deadline) as got:
            return got.status, await got.text()

    def begin(headers=CUSTOMER):
        tasks.append(asyncio.create_task(ask(headers)))
        return tasks[-1]

    yield begin
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def outcome(refusal):
    """Return the status, the error and whether the refused request may have run."""
    status, text = refusal
    fields = json.loads(text)
    return status, fields["error"], fields["ran"]


async def answers_of(tasks):
    """Return the tasks' results, or the errors of those that got no answer."""
    async with asyncio.timeout(ANSWER_SECONDS):
        return await asyncio.gather(*tasks, return_exceptions=True)


# Guards against requests whose connections close without an answer at the end of a
# stop's grace.
async def test_requests_left_at_the_end_are_refused(entry, engine, post, stop):
    engine.batch.service_time = LONG_SECONDS
    running = [post() for _ in range(COLD_LIMIT)]
    await until(lambda: len(engine.runs) == COLD_LIMIT)
    waiting = [post() for _ in range(2)]
    await until(lambda: entry.admission.dump() == {"model": 2})
    stopped = stop()
    answers = [outcome(answer) for answer in await answers_of(running + waiting)]
    assert answers == [
        *[(504, "outcome_unknown", "unknown")] * 2,
        *[(503, "entry_stopping", "no")] * 2,
    ]
    await asyncio.wait_for(stopped, ANSWER_SECONDS)
    assert len(engine.runs) == COLD_LIMIT


# Guards against a stream that is cut without a closing event at the end of a stop's
# grace.
async def test_stream_left_at_the_end_gets_an_error_event(engine, post, stop):
    engine.batch.service_time = LONG_SECONDS / 4
    engine.tokens = 100
    asked = post(STREAM)
    await until(lambda: engine.runs)
    stopped = stop()
    [(status, text)] = await answers_of([asked])
    kind, data = text.strip().split("\n\n")[-1].split("\n")
    refusal = json.loads(data.removeprefix("data: "))
    assert (status, kind, refusal["ran"]) == (200, "event: error", "unknown")
    await asyncio.wait_for(stopped, ANSWER_SECONDS)


# Guards against a body that is still read at the end of a stop's grace and gets no
# refusal.
async def test_body_left_at_the_end_is_refused(entry, stop):
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    head = b"POST /v1/pipelines/ask HTTP/1.1\r\nHost: e\r\nCustomer: acme\r\n"
    writer.write(head + b"Content-Length: 2\r\n\r\n1")
    await until(lambda: entry.dump()["running"])
    stopped = stop()
    answer = await asyncio.wait_for(reader.read(), ANSWER_SECONDS)
    writer.close()
    status = int(answer.split()[1])
    assert outcome((status, answer.partition(b"\r\n\r\n")[2])) == (
        503,
        "entry_stopping",
        "no",
    )
    await asyncio.wait_for(stopped, ANSWER_SECONDS)


# Guards against a stopping entry that admits what can't end before it exits.
async def test_request_that_cannot_end_is_refused_at_once(
    system, entry, engine, post, stop
):
    engine.batch.service_time = RUN_SECONDS
    assert (await post())[0] == 200
    stopped = stop(grace=RUN_SECONDS / 2, drain_delay=RUN_SECONDS / 4)
    await until(lambda: entry.stopping)
    async with aiohttp.ClientSession() as session:
        url = f"{system.entry_url()}/v1/pipelines/ask"
        async with session.post(url, json=1, headers=CUSTOMER) as response:
            refusal = (response.status, await response.text())
            assert response.headers["Connection"] == "close"
            assert response.headers["Retry-After"] == "1"
    assert outcome(refusal) == (503, "entry_stopping", "no")
    assert not stopped.done()
    await asyncio.wait_for(stopped, ANSWER_SECONDS)
    assert len(engine.runs) == 1
