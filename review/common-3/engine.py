"""Stand-in of a model runner that answers with streams, as PROTOCOL.md describes it."""

import asyncio
import time

from runner import ATTEMPT, Runner
from wire import answer_bytes

EVENTS = 6
EVENT_SECONDS = 0.08
NOT_RUN = ("Vanillawharf-Not-Executed", "1")


class Engine(Runner):
    """Stream events; crash as it begins to write an answer on the part `deadly`.

    After a crash it is back at its address after `down_seconds`, under its id, with a
    new `born`. `crashes` has the times; `deadly_arrivals` the times and ids of requests
    with the part.
    """

    def __init__(self, *arguments, deadly=None, down_seconds=4.0, **options):
        super().__init__(*arguments, slots=64, **options)
        self.deadly, self.down_seconds = deadly, down_seconds
        self.crashes = []
        self.deadly_arrivals = []

    async def _answer(self, request, writer):
        fields = self._fields(request)
        attempt = request.fields.get(ATTEMPT)
        if attempt is None:
            writer.write(answer_bytes(400, [*fields, NOT_RUN]))
            return
        if request.fields.get("vanillawharf-expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, [*fields, NOT_RUN]))
            return
        prompt = request.fields.get("vanillawharf-prefix-hash", "")
        parts = [item.partition(":")[0].strip() for item in prompt.split(",")]
        is_deadly = self.deadly is not None and self.deadly in parts[:-1]
        if is_deadly:
            self.deadly_arrivals.append((time.monotonic(), attempt))
        self.arrivals.append((time.monotonic(), attempt))
        self.record("arrived", self.name, id=attempt, deadly=is_deadly)
        self.running += 1
        self._in_work.add(attempt)
        try:
            await self._stream(attempt, fields, writer, is_deadly)
        finally:
            self.running -= 1
            self._in_work.discard(attempt)

    async def _stream(self, attempt, fields, writer, is_deadly):
        await asyncio.sleep(0.03)
        fields.append(("Vanillawharf-Runner-Stamp", f"{self.name}.{attempt}"))
        fields.append(("Content-Type", "text/event-stream"))
        fields.append(("Transfer-Encoding", "chunked"))
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in fields), "", ""]
        writer.write("\r\n".join(lines).encode())
        await writer.drain()
        if is_deadly:
            await asyncio.sleep(0.005)
            asyncio.ensure_future(self.crash_and_return())
            await asyncio.sleep(1)
            return
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def crash_and_return(self):
        """Lose all connections and work, and start again after some seconds."""
        if self.is_crashed:
            return
        self.crashes.append(time.monotonic())
        await self.crash(self.down_seconds)
        self.is_crashed = False
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start(self.port)
        self.record("back", self.name)
