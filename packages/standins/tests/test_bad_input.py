"""Each kind of bad input gets its status and code, and nothing runs."""

import json

import pytest
import pytest_asyncio

from wharf_coordination import Code
from wharf_standins.fault_rule import FaultKind, FaultRule
from wharf_standins.loopback import Loopback

PIPELINES = {
    "ask": {"stages": [{"name": "answer", "pool": "model"}], "max_deadline": 60}
}
PATH = "/v1/pipelines/ask"
MAX_BODY = 512 << 10


@pytest_asyncio.fixture
async def system():
    async with Loopback({"model": ("dc-1", "dc-2")}, PIPELINES) as running:
        yield running


async def send(system, method="POST", path=PATH, body=b"1", **headers):
    """Return the status, headers and JSON of an answer."""
    sent = {"Customer": "acme"} | headers
    url = system.entry_url() + path
    async with system.session.request(method, url, data=body, headers=sent) as response:
        return response.status, response.headers, await response.json()


BAD_REQUESTS = {
    "empty body": ({"body": b""}, 400, Code.BAD_BODY),
    "cut body": ({"body": b'{"a": '}, 400, Code.BAD_BODY),
    "NaN": ({"body": b'{"a": NaN}'}, 400, Code.BAD_BODY),
    "infinity": ({"body": b"[-Infinity]"}, 400, Code.BAD_BODY),
    "too deep": ({"body": b"[" * 100_000 + b"]" * 100_000}, 400, Code.BAD_BODY),
    "not UTF-8": ({"body": b'"\xff"'}, 400, Code.BAD_BODY),
    "UTF-16": ({"body": '{"a": 1}'.encode("utf-16")}, 400, Code.BAD_BODY),
    "two values": ({"body": b"1 2"}, 400, Code.BAD_BODY),
    "too large": ({"body": b'"' + b"x" * MAX_BODY + b'"'}, 413, Code.BODY_TOO_LARGE),
    "pipeline": ({"path": "/v1/pipelines/none"}, 404, Code.UNKNOWN_PIPELINE),
    "path": ({"path": "/v2"}, 404, Code.UNKNOWN_PATH),
    "method": ({"method": "PUT"}, 405, Code.BAD_METHOD),
    "customer": ({"Customer": "nobody"}, 403, Code.UNKNOWN_CUSTOMER),
    "priority": ({"Priority": "now"}, 400, Code.BAD_HEADER),
    "long key": ({"Idempotency-Key": "k" * 129}, 400, Code.BAD_HEADER),
    "key with space": ({"Idempotency-Key": "a b"}, 400, Code.BAD_HEADER),
    "empty key": ({"Idempotency-Key": ""}, 400, Code.BAD_HEADER),
    "deadline zero": ({"Deadline-Seconds": "0"}, 400, Code.BAD_DEADLINE),
    "deadline past": ({"Deadline-Seconds": "-1"}, 400, Code.BAD_DEADLINE),
    "deadline NaN": ({"Deadline-Seconds": "nan"}, 400, Code.BAD_DEADLINE),
    "deadline infinite": ({"Deadline-Seconds": "inf"}, 400, Code.BAD_DEADLINE),
    "deadline absurd": ({"Deadline-Seconds": "1e9"}, 400, Code.BAD_DEADLINE),
    "deadline word": ({"Deadline-Seconds": "soon"}, 400, Code.BAD_DEADLINE),
}


@pytest.mark.parametrize(
    ("request_", "status", "code"), BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys()
)
async def test_bad_request_is_refused_as_not_run(system, request_, status, code):
    got, headers, refusal = await send(system, **request_)
    assert (got, refusal["code"], refusal["ran"]) == (status, code, "no")
    assert headers["Result-Code"] == str(int(code))
    assert refusal["request"] and refusal["detail"]
    assert not any(engine.runs for engine in system.engine_by_name.values())


# Guards against a request that is refused as an error of the entry, and as possibly
# run, since its body can't be decoded.
async def test_body_that_cannot_be_decompressed_is_refused_as_not_run(system):
    encoded = {"Content-Encoding": "gzip"}
    status, _, refusal = await send(system, body=b"not compressed", **encoded)
    assert (status, refusal["code"]) == (400, Code.BAD_BODY)
    assert refusal["ran"] == "no"


async def test_answer_that_is_not_json_is_not_passed_on(system):
    for engine in system.engine_by_name.values():
        engine.faults.append(FaultRule(FaultKind.GARBLE))
    status, _, refusal = await send(system)
    assert (status, refusal["code"]) == (502, Code.ANSWER_BROKEN)
    assert refusal["ran"] == "unknown"


async def test_no_upstream_is_refused_as_not_run(system):
    document = system.entries[0].feed.document
    changed = document.successor("op", out_data_centres={"dc-1", "dc-2"})
    await system.publish(changed)
    system.entries[0].feed.adopt(changed.to_json(), "test")
    status, headers, refusal = await send(system)
    assert (status, refusal["ran"]) == (503, "no")
    assert headers["Retry-After"] == "1"


async def test_largest_answer_comes_whole(system):
    note = "x" * (MAX_BODY - 2)
    status, _, answer = await send(system, body=json.dumps(note).encode())
    assert (status, answer["echo"] == note) == (200, True)
