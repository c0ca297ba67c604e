"""Callers that write down what they sent and what they got."""

import asyncio
import json
from itertools import count

import aiohttp

from wharf_standins.history.got import Got
from wharf_standins.history.sent import Sent

__all__ = ["Callers"]

ANSWER_SECONDS = 20.0
DEADLINE_SECONDS = 4.0
STREAM_TYPE = "text/event-stream"


class Callers:
    """Send requests to the entries of a system and record both sides."""

    def __init__(self, system, history):
        self._system = system
        self._history = history
        self._numbers = count()

    async def ask(self, input, entry, streaming=False):
        """Send an idempotent request."""
        return await self._send("ask", input, entry, streaming=streaming)

    async def hold(self, input, entry):
        """Send a request that may run only once, under a key."""
        return await self._send("hold", input, entry, key=f"key-{input}")

    async def _send(self, pipeline, input, entry, key="", streaming=False):
        name = self._system.entries[entry].settings.name
        sent = Sent(
            number=next(self._numbers),
            pipeline=pipeline,
            entry=name,
            input=input,
            at=self._now(),
            key=key,
            streaming=streaming,
        )
        self._history.sent.append(sent)
        got = await self._got(sent, entry)
        self._history.got.append(got)
        return got

    async def _got(self, sent, entry):
        headers = {"Customer": "acme", "Deadline-Seconds": str(DEADLINE_SECONDS)}
        if sent.key:
            headers["Idempotency-Key"] = sent.key
        if sent.streaming:
            headers["Accept"] = STREAM_TYPE
        url = f"{self._system.entry_url(entry)}/v1/pipelines/{sent.pipeline}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        request = ""
        try:
            async with self._system.session.post(
                url, data=json.dumps(sent.input), headers=headers, timeout=timeout
            ) as response:
                request = response.headers.get("Request-Id", "")
                text = await response.text()
                is_stream = response.content_type == STREAM_TYPE
        except (TimeoutError, aiohttp.ClientError):
            return Got(sent.number, self._now(), request=request, cut=True)
        read = _read_stream if is_stream else _read_whole
        return read(sent, request, text, self._now())

    def _now(self):
        return asyncio.get_running_loop().time()


def _read_whole(sent, request, text, now):
    body = json.loads(text)
    if "error" in body:
        return Got(sent.number, now, body["code"], body["ran"], request)
    return Got(sent.number, now, request=request, answered=_echo(body))


def _read_stream(sent, request, text, now):
    events = [_event(block) for block in text.strip().split("\n\n")]
    chunks = [data for kind, data in events if kind == "chunk"]
    kind, last = events[-1]
    if kind == "error":
        return Got(sent.number, now, last["code"], last["ran"], request)
    numbers = [chunk["sequence"] for chunk in chunks]
    is_whole = kind == "end" and numbers == list(range(last["chunks"]))
    answered = json.loads(chunks[0]["text"]) if chunks else ""
    return Got(sent.number, now, request=request, answered=answered, is_whole=is_whole)


def _event(block):
    kind, _, data = block.partition("\n")
    return kind.removeprefix("event: "), json.loads(data.removeprefix("data: "))


def _echo(body):
    # An answer of another request need not have the shape of this one's.
    return body["echo"] if isinstance(body, dict) and "echo" in body else body
