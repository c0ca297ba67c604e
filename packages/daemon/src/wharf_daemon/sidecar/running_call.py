"""Execution of one call that arrived on a link."""

import asyncio
from contextlib import suppress

import structlog
from websockets.exceptions import ConnectionClosed

from wharf_coordination import Code, Refusal
from wharf_daemon.sidecar.chunk_sender import ChunkSender
from wharf_daemon.sidecar.upstream_client import UpstreamError
from wharf_wire import Call, End, Failed

__all__ = ["RunningCall"]

log = structlog.get_logger(__name__)

UPSTREAM_FAILURE_CODES = (
    Code.UPSTREAM_CRASHED,
    Code.UPSTREAM_FAILED,
    Code.UPSTREAM_FULL,
)


class RunningCall:
    """Run a call on the upstream and send its answer with flow control."""

    def __init__(self, call: Call, sidecar, link):
        self._call = call
        self._sidecar = sidecar
        self._link = link
        self._chunks = ChunkSender(call, link.send, sidecar.settings.gather_seconds)

    def credit(self, cost):
        """Add `cost` bytes of credit to the send window."""
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
        started_at = self._now()
        refusal = Refusal.unknown(Code.CALLER_LEFT)
        crash_monitor = self._sidecar.crash_monitor
        epoch = crash_monitor.begin(self._call)
        try:
            refusal = await self._answer()
        finally:
            self._chunks.close()
            crash_monitor.end(self._call)
            # Precedes the final frame, so that its receiver finds the slot free.
            self._sidecar.release(self._call, _upstream_succeeded(refusal))
        if refusal:
            if refusal.code is Code.UPSTREAM_CRASHED:
                # The entry must learn of the suspicion before the attempt fails.
                await self._link.send(crash_monitor.record_crash(self._call, epoch))
            await self._fail(refusal)
            return
        crash_monitor.record_answer(epoch)
        self._count(Code.OK)
        load, elapsed = self._sidecar.load(), self._now() - started_at
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
        except ConnectionClosed:
            raise
        except Exception:
            log.exception("call_failed", attempt=self._call.attempt)
            return Refusal.unknown(Code.INTERNAL)
        return None

    async def _fail(self, refusal):
        self._count(refusal.code)
        await self._link.send(Failed.from_refusal(self._call.attempt, refusal))

    def _count(self, code):
        self._sidecar.metrics.attempts.labels(self._call.stage, code.label).inc()

    def _now(self):
        return asyncio.get_running_loop().time()


def _upstream_succeeded(refusal):
    """Return whether a call's end shows a healthy upstream, or None if unclear."""
    if refusal is None:
        return True
    return False if refusal.code in UPSTREAM_FAILURE_CODES else None
