"""Clients of the demonstration that check the responses to their requests."""

import asyncio
import json
from collections import Counter
from itertools import count, cycle

from wharf_standins.demo.exchange import CUSTOMERS

__all__ = ["DemoClients"]

QUESTION_CLIENT_COUNT = 12
REPORT_CLIENT_COUNT = 2
INTERVAL_SECONDS = 0.06
HOLD_INTERVAL_SECONDS = 0.5
REQUESTS_PER_STREAM = 10
ITEMS = ("anvil", "swage block", "cone mandrel", "leg vice", "post drill")


class DemoClients:
    """Send sample requests until stopped and check the responses.

    Each hold is sent twice with one idempotency key, as by a client that lost the
    response. `errors` describes the wrong responses.
    """

    def __init__(self, system):
        self._system = system
        self._numbers = count()
        self._entries = cycle(range(len(system.entries)))
        self._customers = cycle(CUSTOMERS)
        self._tasks = []
        self.is_stopping = False
        self.sent_by_pipeline = Counter()
        self.streams = 0
        self.errors = []

    def start(self):
        """Start sending requests."""
        questions = [
            self._repeat(self._send_question) for _ in range(QUESTION_CLIENT_COUNT)
        ]
        reports = [self._repeat(self._send_report) for _ in range(REPORT_CLIENT_COUNT)]
        holds = [self._repeat(self._send_hold, HOLD_INTERVAL_SECONDS)]
        self._tasks = [
            asyncio.create_task(client) for client in (*questions, *reports, *holds)
        ]

    async def stop(self):
        """Send no more requests and wait for the outstanding responses."""
        self.is_stopping = True
        await asyncio.gather(*self._tasks)

    @property
    def sent(self):
        """Return the number of requests sent."""
        return self.sent_by_pipeline.total()

    async def _repeat(self, send, interval=INTERVAL_SECONDS):
        while not self.is_stopping:
            await send()
            await asyncio.sleep(interval)

    async def _send_question(self):
        note = self._note("Is it true that this one has a chipped edge?")
        if note["number"] % REQUESTS_PER_STREAM == 0:
            await self._send_stream(note)
        else:
            await self._send("question", note)

    async def _send_report(self):
        await self._send("report", self._note("Face true, edges dressed, no ring."))

    async def _send_hold(self):
        note = self._note("Hold until Saturday.")
        headers = {
            "Customer": next(self._customers),
            "Idempotency-Key": f"hold-{note['number']}",
        }
        first = await self._send("hold", note, headers)
        again = await self._send("hold", note, headers)
        if first != again:
            self.errors.append(f"hold {note['number']}: {first} and then {again}")

    def _note(self, text):
        number = next(self._numbers)
        return {"number": number, "item": ITEMS[number % len(ITEMS)], "text": text}

    async def _send(self, pipeline, note, headers=None):
        async with self._post(pipeline, note, headers or {}) as response:
            text = await response.text()
        if response.status != 200 or json.loads(text)["echo"] != note:
            self.errors.append(f"{pipeline} {note['number']}: {text}")
        return text

    async def _send_stream(self, note):
        self.streams += 1
        headers = {"Accept": "text/event-stream"}
        async with self._post("question", note, headers) as response:
            text = await response.text()
        *chunks, closing = text.strip().split("\n\n")
        expected = f'event: end\ndata: {{"chunks": {len(chunks)}}}'
        is_complete = closing == expected and len(chunks) > 0
        if not is_complete or json.loads(_text_of(chunks[0])) != note:
            self.errors.append(f"stream {note['number']}: {text}")

    def _post(self, pipeline, note, headers):
        self.sent_by_pipeline[pipeline] += 1
        url = f"{self._system.entry_url(next(self._entries))}/v1/pipelines/{pipeline}"
        headers = {"Customer": next(self._customers)} | headers
        return self._system.session.post(url, json=note, headers=headers)


def _text_of(event):
    return json.loads(event.partition("data: ")[2])["text"]
