"""Requests under way while a configuration removes what they use."""

import asyncio
import json

import pytest
import pytest_asyncio

from wharf_platform.configuration import Folder
from wharf_standins.loopback import Loopback

SHAPE = {"model": ("dc-1",), "scorer": ("dc-1",)}
PIPELINES = {
    "ask": {"stages": [{"name": "answer", "pool": "model"}]},
    "score": {"stages": [{"name": "score", "pool": "scorer"}]},
}
LONG_SECONDS = 30.0
RUN_SECONDS = 0.5
ANSWER_SECONDS = 5.0
COLD_LIMIT = 2


@pytest_asyncio.fixture
async def system():
    async with Loopback(SHAPE, PIPELINES) as running:
        yield running


@pytest_asyncio.fixture
async def post(system):
    """Return a function that starts a request as a task.

    The task returns the status and the JSON of the response.
    """
    tasks = []

    async def ask(pipeline, deadline):
        url = f"{system.entry_url()}/v1/pipelines/{pipeline}"
        headers = {"Customer": "acme", "Deadline-Seconds": str(deadline)}
        async with system.session.post(url, json=1, headers=headers) as response:
            return response.status, json.loads(await response.text())

    def begin(pipeline, deadline=LONG_SECONDS):
        tasks.append(asyncio.create_task(ask(pipeline, deadline)))
        return tasks[-1]

    yield begin
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
def change(system):
    """Return a function that publishes the folder without the given parts."""

    async def publish(*removed):
        fields = system.folder().model_dump()
        for section, name in removed:
            del fields[section][name]
        document = system.entries[0].feed.document
        folder = Folder.model_validate(fields)
        successor = document.successor("test", folder=folder)
        await system.publish(successor)
        await until(lambda: system.entries[0].feed.document == successor)

    return publish


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def fill(system, post, pipeline, pool, waiting):
    """Start as many requests as the pool's upstream takes, and `waiting` more."""
    tasks = [post(pipeline) for _ in range(COLD_LIMIT + waiting)]
    entry = system.entries[0]
    await until(lambda: entry.admission.dump().get(pool) == waiting)
    await until(lambda: len(system.engine_by_name[f"{pool}-0"].runs) == COLD_LIMIT)
    return tasks


# Guards against requests that get neither an answer nor a refusal once a new
# configuration has removed the pool that they wait for.
async def test_removed_pool_refuses_its_waiting_requests(system, post, change):
    system.engine_by_name["model-0"].batch.service_time = LONG_SECONDS
    system.engine_by_name["scorer-0"].batch.service_time = LONG_SECONDS
    asked = await fill(system, post, "ask", "model", 2)
    await fill(system, post, "score", "scorer", 0)
    await change(("pools", "model"), ("upstreams", "model-0"), ("pipelines", "ask"))
    done, _ = await asyncio.wait(asked[COLD_LIMIT:], timeout=ANSWER_SECONDS)
    refusals = [refusal for _, refusal in (task.result() for task in done)]
    outcomes = [(refusal["error"], refusal["ran"]) for refusal in refusals]
    assert outcomes == [("no_upstream", "no")] * 2
    late = post("score", deadline=0.5)
    status, refusal = await asyncio.wait_for(late, ANSWER_SECONDS)
    assert (status, refusal["error"]) == (503, "deadline_too_short")


# Guards against a removed upstream whose running calls are cut and whose requests
# then count as suspected of a crash.
async def test_call_of_a_removed_upstream_is_finished(system, post, change):
    system.engine_by_name["model-0"].batch.service_time = RUN_SECONDS
    sidecar = system.sidecar_by_name["model-0"]
    asked = post("ask")
    await until(lambda: sidecar.limiter.in_flight)
    await change(("upstreams", "model-0"))
    assert (await post("ask", deadline=RUN_SECONDS / 5))[1]["ran"] == "no"
    assert (await asyncio.wait_for(asked, ANSWER_SECONDS))[0] == 200
    await until(lambda: not sidecar.links)
    assert not system.entries[0].facts.messages()


# Guards against a removed upstream that gets no calls when it returns at once, and
# whose running calls are repeated then.
async def test_upstream_that_returns_during_its_last_call_is_used(system, post, change):
    engine = system.engine_by_name["model-0"]
    engine.batch.service_time = RUN_SECONDS
    asked = post("ask")
    await until(lambda: engine.runs)
    await change(("upstreams", "model-0"))
    await change()
    links = system.entries[0].links
    await until(lambda: all(link.is_open for link in links.by_address.values()))
    assert len(links.by_address) == 2
    assert (await post("ask"))[0] == 200
    assert (await asyncio.wait_for(asked, ANSWER_SECONDS))[0] == 200
    assert [run.completed for run in engine.runs] == [True, True]


# Guards against an internal error for a request whose pipeline was removed while its
# body was read.
async def test_pipeline_removed_while_the_body_is_read_is_unknown(system, change):
    entry = system.entries[0]
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    head = b"POST /v1/pipelines/ask HTTP/1.1\r\nHost: e\r\nCustomer: acme\r\n"
    writer.write(head + b"Content-Length: 2\r\nConnection: close\r\n\r\n1")
    await until(lambda: entry.dump()["running"])
    await change(("pipelines", "ask"))
    writer.write(b"2")
    answer = await asyncio.wait_for(reader.read(), ANSWER_SECONDS)
    writer.close()
    refusal = json.loads(answer.partition(b"\r\n\r\n")[2])
    assert (refusal["error"], refusal["ran"]) == ("unknown_pipeline", "no")
