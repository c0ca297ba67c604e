"""Callers that record their requests and the outcomes."""

import asyncio
import json
from itertools import count

import aiohttp

from wharf_standins.history.call_outcome import CallOutcome
from wharf_standins.history.sent_request import SentRequest

__all__ = ["Callers"]

RESPONSE_TIMEOUT_SECONDS = 20.0
DEADLINE_SECONDS = 4.0
STREAM_TYPE = "text/event-stream"


class Callers:
    """Send requests to the entries of a system and record calls and outcomes."""

    def __init__(self, system, history):
        self._system = system
        self._history = history
        self._numbers = count()

    async def send_idempotent(self, input, entry, streaming=False):
        """Send an idempotent request; return its outcome."""
        return await self._send("ask", input, entry, streaming=streaming)

    async def send_keyed(self, input, entry):
        """Send a non-idempotent request with an idempotency key; return its outcome."""
        return await self._send("hold", input, entry, key=f"key-{input}")

    async def _send(self, pipeline, input, entry, key="", streaming=False):
        name = self._system.entries[entry].settings.name
        sent = SentRequest(
            number=next(self._numbers),
            pipeline=pipeline,
            entry=name,
            input=input,
            at=self._now(),
            key=key,
            streaming=streaming,
        )
        self._history.sent_requests.append(sent)
        outcome = await self._call(sent, entry)
        self._history.call_outcomes.append(outcome)
        return outcome

    async def _call(self, sent, entry):
        headers = {"Customer": "acme", "Deadline-Seconds": str(DEADLINE_SECONDS)}
        if sent.key:
            headers["Idempotency-Key"] = sent.key
        if sent.streaming:
            headers["Accept"] = STREAM_TYPE
        url = f"{self._system.entry_url(entry)}/v1/pipelines/{sent.pipeline}"
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_SECONDS)
        request = ""
        try:
            async with self._system.session.post(
                url, data=json.dumps(sent.input), headers=headers, timeout=timeout
            ) as response:
                request = response.headers.get("Request-Id", "")
                text = await response.text()
                is_stream = response.content_type == STREAM_TYPE
        except (TimeoutError, aiohttp.ClientError):
            return CallOutcome(
                sent.number, self._now(), request=request, interrupted=True
            )
        parse = _parse_stream if is_stream else _parse_response
        return parse(sent, request, text, self._now())

    def _now(self):
        return asyncio.get_running_loop().time()


def _parse_response(sent, request, text, now):
    body = json.loads(text)
    if "error" in body:
        return CallOutcome(sent.number, now, body["code"], body["ran"], request)
    return CallOutcome(sent.number, now, request=request, echoed_input=_echo(body))


def _parse_stream(sent, request, text, now):
    events = [_parse_event(block) for block in text.strip().split("\n\n")]
    chunks = [data for kind, data in events if kind == "chunk"]
    kind, last = events[-1]
    if kind == "error":
        return CallOutcome(sent.number, now, last["code"], last["ran"], request)
    numbers = [chunk["sequence"] for chunk in chunks]
    is_complete = kind == "end" and numbers == list(range(last["chunks"]))
    echoed_input = json.loads(chunks[0]["text"]) if chunks else ""
    return CallOutcome(
        sent.number,
        now,
        request=request,
        echoed_input=echoed_input,
        is_complete=is_complete,
    )


def _parse_event(block):
    kind, _, data = block.partition("\n")
    return kind.removeprefix("event: "), json.loads(data.removeprefix("data: "))


def _echo(body):
    # A response that belongs to another request may have a different structure.
    return body["echo"] if isinstance(body, dict) and "echo" in body else body
