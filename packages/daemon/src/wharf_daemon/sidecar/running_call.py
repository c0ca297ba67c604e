"""One admitted or refused call on a link, until its last frame."""

import asyncio
from contextlib import suppress

from websockets.exceptions import ConnectionClosed

from wharf_coordination import Code, Refusal, SendWindow, chunk_cost
from wharf_daemon.sidecar.upstream_client import UpstreamError
from wharf_wire import Call, Chunk, End, Failed

__all__ = ["RunningCall"]

UPSTREAM_FAULTS = (Code.UPSTREAM_FAILED, Code.UPSTREAM_FULL)


class RunningCall:
    """Run a call on the upstream and send its answer as the entry's credit allows."""

    def __init__(self, call: Call, sidecar, link):
        self._call = call
        self._sidecar = sidecar
        self._link = link
        self._window = SendWindow()
        self._credited = asyncio.Event()
        self._sequence = call.resume_from

    def credit(self, cost):
        """Allow more of the answer to be sent."""
        self._window.credit(cost)
        self._credited.set()

    async def run(self):
        """Admit the call, run it and send its frames; end early if cancelled."""
        with suppress(ConnectionClosed):
            admitted = self._sidecar.admit(self._call, self._link)
            if admitted.is_err():
                await self._fail(admitted.unwrap_err())
                return
            await self._run_admitted()

    async def _run_admitted(self):
        begin = self._now()
        refusal = Refusal.unknown(Code.CALLER_LEFT)
        try:
            refusal = await self._answer()
        finally:
            # Before the last frame, so that its receiver finds the room free.
            self._sidecar.release(self._call, _proof(refusal))
        if refusal:
            await self._fail(refusal)
            return
        self._count(Code.OK)
        load, elapsed = self._sidecar.load(), self._now() - begin
        frame = End(
            self._call.attempt, self._sequence, elapsed, load.in_flight, load.limit
        )
        await self._link.send(frame)

    async def _answer(self) -> Refusal | None:
        try:
            async with asyncio.timeout(self._call.time_left):
                async for body in self._sidecar.upstream.run(self._call):
                    await self._send_chunk(body)
        except UpstreamError as failure:
            return failure.refusal
        except TimeoutError:
            return Refusal.unknown(Code.DEADLINE_PASSED)
        return None

    async def _send_chunk(self, body):
        while not self._window.is_open:
            self._credited.clear()
            await self._credited.wait()
        self._window.sent(chunk_cost(body))
        await self._link.send(Chunk(self._call.attempt, self._sequence, body))
        self._sequence += 1

    async def _fail(self, refusal):
        self._count(refusal.code)
        await self._link.send(Failed.from_refusal(self._call.attempt, refusal))

    def _count(self, code):
        self._sidecar.metrics.attempts.labels(self._call.stage, code.label).inc()

    def _now(self):
        return asyncio.get_running_loop().time()


def _proof(refusal):
    """Return whether the end of a call shows the upstream well, ill, or neither."""
    if refusal is None:
        return True
    return False if refusal.code in UPSTREAM_FAULTS else None
