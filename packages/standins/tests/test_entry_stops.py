"""Stops of an entry whose requests can't all end within its grace."""

import asyncio
import json
import socket

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
HEAD = b"POST /v1/pipelines/ask HTTP/1.1\r\nHost: e\r\nCustomer: acme\r\n"
REQUEST = HEAD + b"Content-Length: 1\r\n\r\n1"
CUSTOMER = {"Customer": "acme"}
STREAM = CUSTOMER | {"Accept": "text/event-stream"}
LONG_SECONDS = 40.0
RUN_SECONDS = 0.5
GRACE_SECONDS = 1.0
ANSWER_SECONDS = 4.0
COLD_LIMIT = 2
CONNECTIONS = 20


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
    writer.write(HEAD + b"Content-Length: 2\r\n\r\n1")
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


def connect(entry):
    """Return a socket that is connected before the entry accepts it."""
    caller = socket.create_connection(("127.0.0.1", entry.port))
    caller.setblocking(False)
    return caller


async def read_statuses(caller):
    """Return the statuses of all responses until the connection closes."""
    reader, writer = await asyncio.open_connection(sock=caller)
    async with asyncio.timeout(ANSWER_SECONDS):
        text = await reader.read()
    writer.close()
    heads = text.split(b"HTTP/1.1 ")[1:]
    return [int(head.split()[0]) for head in heads]


# Guards against requests that arrive with the signal to stop and get no answer.
async def test_requests_sent_with_the_signal_are_answered(entry, stop):
    callers = [connect(entry) for _ in range(CONNECTIONS)]
    for caller in callers:
        caller.send(REQUEST)
    stopped = stop()
    answers = await asyncio.gather(*map(read_statuses, callers))
    assert {len(statuses) for statuses in answers} == {1}
    assert {*sum(answers, [])} <= {200, 503}
    await asyncio.wait_for(stopped, ANSWER_SECONDS)


# Guards against requests on kept connections that arrive while the entry closes them.
async def test_requests_on_kept_connections_are_answered(entry, stop):
    callers = [connect(entry) for _ in range(CONNECTIONS)]
    for caller in callers:
        caller.send(REQUEST)
    await until(lambda: entry.metrics.requests.labels("ask", "ok")._value.get() == 20)
    stopped = stop()
    await until(lambda: entry.requests.is_ended)
    for caller in callers:
        caller.send(REQUEST)
    answers = await asyncio.gather(*map(read_statuses, callers))
    assert answers == [[200, 503]] * CONNECTIONS
    await asyncio.wait_for(stopped, ANSWER_SECONDS)


# Guards against a pipelined request that gets no answer behind one that ends during
# the stop.
async def test_pipelined_request_is_answered(entry, engine, stop):
    engine.batch.service_time = RUN_SECONDS
    caller = connect(entry)
    caller.send(REQUEST * 2)
    await until(lambda: engine.runs)
    stopped = stop(grace=2 * GRACE_SECONDS)
    statuses = await read_statuses(caller)
    assert len(statuses) == 2
    assert statuses[0] == 200
    assert statuses[1] in (200, 503)
    await asyncio.wait_for(stopped, ANSWER_SECONDS)
