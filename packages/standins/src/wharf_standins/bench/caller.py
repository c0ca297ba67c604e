"""Callers that send the arrivals and record their outcomes."""

import asyncio
import json

import aiohttp

from wharf_standins.bench.outcome import Outcome

__all__ = ["Caller"]

GRACE_SECONDS = 3.0
STREAM_TYPE = "text/event-stream"


class Caller:
    """Send each arrival at its time, to the entries in turn."""

    def __init__(self, session, entry_urls):
        self._session = session
        self._entry_urls = entry_urls

    async def send_all(self, arrivals):
        """Send all arrivals; return their outcomes."""
        begin = self._now()
        sends = (self._send_at(begin + each.at, each) for each in arrivals)
        return await asyncio.gather(*sends)

    async def _send_at(self, at, arrival):
        await asyncio.sleep(at - self._now())
        begin = self._now()
        kind = arrival.kind
        try:
            async with asyncio.timeout(kind.deadline + GRACE_SECONDS):
                request, code, is_matching = await self._send(arrival)
        except (TimeoutError, aiohttp.ClientError):
            request, code, is_matching = "", None, False
        return Outcome(
            number=arrival.number,
            kind=kind.name,
            customer=arrival.customer,
            request=request,
            code=code,
            is_matching=is_matching,
            seconds=self._now() - begin,
            deadline=kind.deadline,
        )

    async def _send(self, arrival):
        kind = arrival.kind
        url = self._entry_urls[arrival.number % len(self._entry_urls)]
        headers = {"Customer": arrival.customer}
        if kind.streaming:
            headers["Accept"] = STREAM_TYPE
        if kind.keyed:
            headers["Idempotency-Key"] = f"key-{arrival.number}"
        body = {"class": kind.name, "number": arrival.number}
        async with self._session.post(
            f"{url}/v1/pipelines/{kind.name}", json=body, headers=headers
        ) as response:
            request = response.headers["Request-Id"]
            if response.content_type == STREAM_TYPE:
                return request, *self._parse_events(await response.text(), body)
            answer = await response.json()
        if response.status == 200:
            return request, 0, answer["echo"] == body
        return request, answer["code"], False

    def _parse_events(self, text, body):
        events = [event.split("\n") for event in text.strip().split("\n\n")]
        kind, data = events[-1][0], json.loads(events[-1][1].removeprefix("data: "))
        if kind == "event: error":
            return data["code"], False
        if kind != "event: end" or data["chunks"] != len(events) - 1:
            return None, False
        first = json.loads(events[0][1].removeprefix("data: "))
        return 0, json.loads(first["text"]) == body

    def _now(self):
        return asyncio.get_running_loop().time()
