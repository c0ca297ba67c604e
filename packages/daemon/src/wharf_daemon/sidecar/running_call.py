"""One admitted or refused call on a link, until its last frame."""

import asyncio
from contextlib import suppress

from websockets.exceptions import ConnectionClosed

from wharf_coordination import Code, Refusal
from wharf_daemon.sidecar.chunk_sender import ChunkSender
from wharf_daemon.sidecar.upstream_client import UpstreamError
from wharf_wire import Call, End, Failed

__all__ = ["RunningCall"]

UPSTREAM_FAULTS = (
    Code.UPSTREAM_CRASHED,
    Code.UPSTREAM_FAILED,
    Code.UPSTREAM_FULL,
)


class RunningCall:
    """Run a call on the upstream and send its answer as the entry's credit allows."""

    def __init__(self, call: Call, sidecar, link):
        self._call = call
        self._sidecar = sidecar
        self._link = link
        self._chunks = ChunkSender(call, link.send, sidecar.settings.gather_seconds)

    def credit(self, cost):
        """Allow more of the answer to be sent."""
        self._chunks.credit(cost)

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
        crashes = self._sidecar.crashes
        epoch = crashes.begin(self._call)
        try:
            refusal = await self._answer()
        finally:
            self._chunks.close()
            crashes.end(self._call)
            # Before the last frame, so that its receiver finds the room free.
            self._sidecar.release(self._call, _proof(refusal))
        if refusal:
            if refusal.code is Code.UPSTREAM_CRASHED:
                # The entry must know its request for a suspect before it fails.
                await self._link.send(crashes.crash(self._call, epoch))
            await self._fail(refusal)
            return
        crashes.answer(epoch)
        self._count(Code.OK)
        load, elapsed = self._sidecar.load(), self._now() - begin
        frame = End(
            self._call.attempt,
            self._chunks.sequence,
            elapsed,
            load.in_flight,
            load.limit,
        )
        await self._link.send(frame)

    async def _answer(self) -> Refusal | None:
        try:
            async with asyncio.timeout(self._call.time_left):
                async for body in self._sidecar.upstream.run(self._call):
                    await self._chunks.add(body)
                await self._chunks.flush()
        except UpstreamError as failure:
            return failure.refusal
        except TimeoutError:
            return Refusal.unknown(Code.DEADLINE_PASSED)
        return None

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
