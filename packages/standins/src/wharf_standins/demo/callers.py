"""Callers of the demonstration, who check that each answer is their own."""

import asyncio
import json
from collections import Counter
from itertools import count, cycle

from wharf_standins.demo.exchange import CUSTOMERS

__all__ = ["Callers"]

QUESTION_CALLERS = 12
REPORT_CALLERS = 2
PAUSE_SECONDS = 0.06
HOLD_PAUSE_SECONDS = 0.5
STREAM_EVERY = 10
ITEMS = ("anvil", "swage block", "cone mandrel", "leg vice", "post drill")


class Callers:
    """Send sample notes without end and count how they were answered.

    Every hold is sent twice under one key, as by a caller that lost the answer.
    `faults` holds what was wrong with answers.
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
        self.faults = []

    def start(self):
        """Begin to send."""
        questions = [self._repeat(self._question) for _ in range(QUESTION_CALLERS)]
        reports = [self._repeat(self._report) for _ in range(REPORT_CALLERS)]
        holds = [self._repeat(self._hold, HOLD_PAUSE_SECONDS)]
        self._tasks = [
            asyncio.create_task(caller) for caller in (*questions, *reports, *holds)
        ]

    async def stop(self):
        """Send nothing new and wait for all answers."""
        self.is_stopping = True
        await asyncio.gather(*self._tasks)

    @property
    def sent(self):
        """Return the number of requests."""
        return self.sent_by_pipeline.total()

    async def _repeat(self, ask, pause=PAUSE_SECONDS):
        while not self.is_stopping:
            await ask()
            await asyncio.sleep(pause)

    async def _question(self):
        note = self._note("Is it true that this one has a chipped edge?")
        if note["number"] % STREAM_EVERY == 0:
            await self._stream(note)
        else:
            await self._whole("question", note)

    async def _report(self):
        await self._whole("report", self._note("Face true, edges dressed, no ring."))

    async def _hold(self):
        note = self._note("Hold until Saturday.")
        headers = {
            "Customer": next(self._customers),
            "Idempotency-Key": f"hold-{note['number']}",
        }
        first = await self._whole("hold", note, headers)
        again = await self._whole("hold", note, headers)
        if first != again:
            self.faults.append(f"hold {note['number']}: {first} and then {again}")

    def _note(self, text):
        number = next(self._numbers)
        return {"number": number, "item": ITEMS[number % len(ITEMS)], "text": text}

    async def _whole(self, pipeline, note, headers=None):
        async with self._post(pipeline, note, headers or {}) as response:
            text = await response.text()
        if response.status != 200 or json.loads(text)["echo"] != note:
            self.faults.append(f"{pipeline} {note['number']}: {text}")
        return text

    async def _stream(self, note):
        self.streams += 1
        headers = {"Accept": "text/event-stream"}
        async with self._post("question", note, headers) as response:
            text = await response.text()
        *chunks, closing = text.strip().split("\n\n")
        expected = f'event: end\ndata: {{"chunks": {len(chunks)}}}'
        is_whole = closing == expected and len(chunks) > 0
        if not is_whole or json.loads(_text_of(chunks[0])) != note:
            self.faults.append(f"stream {note['number']}: {text}")

    def _post(self, pipeline, note, headers):
        self.sent_by_pipeline[pipeline] += 1
        url = f"{self._system.entry_url(next(self._entries))}/v1/pipelines/{pipeline}"
        headers = {"Customer": next(self._customers)} | headers
        return self._system.session.post(url, json=note, headers=headers)


def _text_of(event):
    return json.loads(event.partition("data: ")[2])["text"]
