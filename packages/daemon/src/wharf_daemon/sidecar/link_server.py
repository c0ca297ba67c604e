"""The sidecar's side of the link from one entry."""

import asyncio
from contextlib import suppress

import structlog
from result import Err, Ok
from websockets.exceptions import ConnectionClosed

from wharf_coordination import Code, Refusal
from wharf_daemon.sidecar.upstream_client import UpstreamError
from wharf_wire import (
    Call,
    Cancel,
    Chunk,
    ConfigurationOffer,
    End,
    Facts,
    Failed,
    Hello,
    decode,
    encode,
)

__all__ = ["LinkServer"]

SEEN_ATTEMPTS = 4096

log = structlog.get_logger(__name__)


class LinkServer:
    """Serve the calls that arrive on one link."""

    def __init__(self, socket, sidecar):
        self._socket = socket
        self._sidecar = sidecar
        self._task_by_attempt = {}
        self._seen = {}
        self.peer = "unknown"
        self.peer_revision = 0

    async def serve(self):
        """Handle messages until the link closes, then cancel what runs."""
        try:
            await self.send(self._sidecar.hello())
            await self.send(self._sidecar.load())
            for message in self._sidecar.facts.messages():
                await self.send(message)
            async for frame in self._socket:
                match decode(frame):
                    case Ok(message):
                        await self._handle(message)
                    case Err(refusal):
                        self._sidecar.metrics.bad_messages.inc()
                        await self._socket.close(1002, refusal.detail[:100])
        except ConnectionClosed:
            pass
        finally:
            for task in self._task_by_attempt.values():
                task.cancel()

    async def send(self, message):
        """Send a message; wait while the peer reads too slowly."""
        await self._socket.send(encode(message))

    async def send_quietly(self, message):
        """Send a message unless the link is lost."""
        with suppress(ConnectionClosed):
            await self.send(message)

    async def _handle(self, message):
        match message:
            case Call():
                self._start(message)
            case Cancel(attempt=attempt):
                task = self._task_by_attempt.get(attempt)
                if task:
                    task.cancel()
            case Hello(name=name, revision=revision):
                self.peer, self.peer_revision = name, revision
                await self.offer_configuration()
            case ConfigurationOffer(revision=revision, document=document):
                self.peer_revision = max(self.peer_revision, revision)
                self._sidecar.feed.offer(document, self.peer)
            case Facts():
                self._sidecar.facts.receive(message)
            case _:
                self._sidecar.metrics.bad_messages.inc()
                await self._socket.close(1002, f"unexpected {message.kind}")

    async def offer_configuration(self):
        """Hand the held configuration to a peer that is behind."""
        revision = self._sidecar.feed.document.revision
        if revision > self.peer_revision:
            self.peer_revision = revision
            await self.send_quietly(
                ConfigurationOffer(revision, self._sidecar.feed.json)
            )

    def _start(self, call):
        if call.attempt in self._seen:
            self._sidecar.metrics.dropped_frames.inc()
            return
        self._seen[call.attempt] = None
        if len(self._seen) > SEEN_ATTEMPTS:
            del self._seen[next(iter(self._seen))]
        task = asyncio.create_task(self._run(call))
        self._task_by_attempt[call.attempt] = task
        task.add_done_callback(lambda _: self._task_by_attempt.pop(call.attempt))

    async def _run(self, call):
        with suppress(ConnectionClosed):
            await self._answer(call)

    async def _answer(self, call):
        admitted = self._sidecar.admit(call)
        if admitted.is_err():
            await self._fail(call, admitted.unwrap_err())
            return
        begin = asyncio.get_running_loop().time()
        succeeded = False
        crashes = self._sidecar.crashes
        epoch = crashes.begin(call)
        try:
            count = 0
            async for body in self._sidecar.upstream.run(call):
                await self.send(Chunk(call.attempt, call.resume_from + count, body))
                count += 1
            succeeded = True
            crashes.answer(epoch)
            elapsed = asyncio.get_running_loop().time() - begin
            await self.send(End(call.attempt, call.resume_from + count, elapsed))
            self._count(call, Code.OK)
        except UpstreamError as failure:
            if failure.refusal.code is Code.UPSTREAM_CRASHED:
                # The entry must know its request for a suspect before it fails.
                await self.send(crashes.crash(call, epoch))
            await self._fail(call, failure.refusal)
        finally:
            crashes.end(call)
            elapsed = asyncio.get_running_loop().time() - begin
            self._sidecar.release(elapsed, succeeded)

    async def _fail(self, call, refusal: Refusal):
        self._count(call, refusal.code)
        await self.send(Failed.from_refusal(call.attempt, refusal))

    def _count(self, call, code):
        self._sidecar.metrics.attempts.labels(call.stage, code.label).inc()
