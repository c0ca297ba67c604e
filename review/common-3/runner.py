"""Stand-in of a plain runner, as PROTOCOL.md describes it."""

import asyncio
import time
from collections import deque

from wire import answer_bytes, read_message, serve

ATTEMPT = "vanillawharf-attempt-id"


class Runner:
    """Register in the store, answer requests, and tell how long it is cold.

    `on_run(runner, id, now)` is called as a run begins, `on_arrival(runner, id, now)`
    as a request arrives that isn't rejected.
    """

    def __init__(
        self,
        store,
        name,
        service,
        record,
        zone="dc-1",
        slots=6,
        work_seconds=0.02,
        heartbeat=1.2,
        queue=200,
        cold_rate=None,
        host="127.0.0.1",
    ):
        self.store, self.name, self.service, self.record = store, name, service, record
        self.zone, self.slots, self.work_seconds = zone, slots, work_seconds
        self.heartbeat, self.host, self.queue = heartbeat, host, queue
        self.version = "v1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.cold_rate = cold_rate
        self.cold_until = 0.0
        self.limit = None
        self.reaches_store = True
        self.is_leaving = False
        self.late_seconds = None  # for the next write to the store
        self.is_crashed = False
        self.arrivals = []  # (time, id) of requests that weren't rejected
        self.running = self.waiting = 0
        self.lost = []
        self._recent = deque()
        self._free = asyncio.Semaphore(slots)
        self._writers = set()
        self._beat = None
        self._in_work = set()
        self.cold_crash_rate = float("inf")  # requests in a second

    async def start(self, port=0):
        """Listen and register."""
        self._server = await serve(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"
        self._beat = asyncio.ensure_future(self._keep_entry())

    async def register(self):
        """Write the entry once; does nothing while cut off from the store."""
        if not self.reaches_store:
            return
        self.seq += 1
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self.cold_left_ms,
            "seqNo": self.seq,
            "born": self.born,
        }
        late, self.late_seconds = self.late_seconds, None
        if late is not None:
            # The call gets no answer, and is executed seconds later.
            asyncio.ensure_future(self._write_late(spec, late))
            return
        await self.store.write("servers", self.name, spec)

    async def _write_late(self, spec, seconds):
        self.record("heartbeat unanswered", self.name, seqNo=spec["seqNo"])
        await asyncio.sleep(seconds)
        await self.store.write("servers", self.name, spec)
        self.record("heartbeat executed late", self.name, seqNo=spec["seqNo"])

    async def leave_without_notice(self, serve_seconds):
        """Leave: the entry is removed, and it serves on for some time, then exits.

        Return the time of the store's acknowledgement.
        """
        self._beat.cancel()
        self.is_leaving = True
        await self.store.delete("servers", self.name)
        acknowledged_at = time.monotonic()
        self.record("entry removed", self.name)
        asyncio.get_running_loop().call_later(serve_seconds, self.close)
        return acknowledged_at

    def close(self):
        """Exit: stop listening and end all connections."""
        self.record("exits", self.name, in_work=len(self._in_work))
        self.lost += sorted(self._in_work)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def cold_left_ms(self):
        """Return for how long the runner stays cold."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def become_cold(self, seconds):
        """Become cold again, and say so in the entry at once."""
        self.cold_until = time.monotonic() + seconds
        asyncio.ensure_future(self.register())

    async def crash(self, down_seconds):
        """Lose all connections and work, and start again at the same address."""
        self.is_crashed = True
        self.lost += sorted(self._in_work)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record("crashed", self.name, lost=len(self._in_work))
        self._in_work = set()
        self._beat.cancel()
        await asyncio.sleep(down_seconds)

    async def _keep_entry(self):
        while True:
            await self.register()
            await asyncio.sleep(self.heartbeat)

    def _fields(self, request):
        fields = [("Vanillawharf-Attempt-Id", request.fields.get(ATTEMPT, ""))]
        load = f"{self.running},{self.waiting},{self.slots}"
        fields.append(("Vanillawharf-Runner-Load", load))
        fields.append(("Keep-Alive", "timeout=20"))
        if self.is_leaving:
            fields.append(("Server-Leaving", "1"))
        if self.limit is not None:
            fields.append(("Server-Limit", f"{self.limit}"))
        return fields

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await self._answer(await read_message(reader), writer)
        finally:
            self._writers.discard(writer)

    async def _answer(self, request, writer):
        method, target, _ = request.line.split()
        now = time.monotonic()
        if target.startswith("/healthz"):
            fields = [("Vanillawharf-Instance-Id", self.name)]
            fields.append(("Vanillawharf-Cold-Ms", self.cold_left_ms))
            status = 200 if self.state == "ready" else 503
            self.record("health", self.name)
            writer.write(answer_bytes(status, fields))
            return
        fields = self._fields(request)
        attempt = request.fields.get(ATTEMPT)
        not_run = ("Vanillawharf-Not-Executed", "1")
        if attempt is None:
            writer.write(answer_bytes(400, [*fields, not_run]))
            return
        expected = request.fields.get("vanillawharf-expect-instance", self.name)
        if expected != self.name:
            writer.write(answer_bytes(421, [*fields, not_run]))
            return
        self.arrivals.append((now, attempt))
        self.record("arrived", self.name, id=attempt, cold_ms=self.cold_left_ms)
        if self._is_overloaded_cold(now):
            asyncio.ensure_future(self.on_overload(self))
            await asyncio.sleep(1)
            return
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(answer_bytes(503, [*fields, not_run]))
            return
        self.waiting += 1
        async with self._free:
            self.waiting -= 1
            self.running += 1
            self._in_work.add(attempt)
            self.record("runs", self.name, id=attempt)
            try:
                await asyncio.sleep(self.work_seconds)
            finally:
                self.running -= 1
        self._in_work.discard(attempt)
        fields = self._fields(request)
        fields.append(("Vanillawharf-Runner-Stamp", f"{self.name}.{attempt}"))
        writer.write(answer_bytes(200, fields, b"done " + attempt.encode()))
        await writer.drain()

    def _is_overloaded_cold(self, now):
        """Return whether it is cold and gets well over what it tolerates."""
        if self.cold_rate is None:
            return False
        if now >= self.cold_until:
            self._recent.clear()
            return False
        self._recent.append(now)
        while self._recent[0] <= now - 1.0:
            self._recent.popleft()
        return len(self._recent) > self.cold_crash_rate

    async def on_overload(self, runner):
        """Crash, as a cold runner does at a rate well above what it tolerates."""
        if not self.is_crashed:
            await self.crash(0)
