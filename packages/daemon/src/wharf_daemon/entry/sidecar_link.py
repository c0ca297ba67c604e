"""The entry's side of the link to one sidecar."""

import asyncio
from contextlib import suppress

import structlog
from result import Err, Ok
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from wharf_coordination import Code, Refusal
from wharf_wire import (
    MAX_FRAME_BYTES,
    Call,
    Cancel,
    Chunk,
    ConfigurationOffer,
    End,
    Facts,
    Failed,
    Hello,
    Load,
    decode,
    encode,
)
from wharf_wire.limits import MAX_QUEUED_FRAMES

__all__ = ["SidecarLink"]

FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 2.0
MAX_ATTEMPT_FRAMES = 4096

log = structlog.get_logger(__name__)


class SidecarLink:
    """Keep one link to a sidecar open and carry attempts over it."""

    def __init__(self, address, entry, rng):
        self.address = address
        self.name = ""
        self.data_centre = ""
        self.load = None
        self.peer_revision = 0
        self._entry = entry
        self._rng = rng
        self._socket = None
        self._queue_by_attempt = {}

    @property
    def is_open(self):
        """Return whether calls can be sent."""
        return self._socket is not None and self.load is not None

    @property
    def in_flight(self):
        """Return the number of this entry's attempts on the link."""
        return len(self._queue_by_attempt)

    async def run(self):
        """Connect, and connect anew after each loss, until cancelled."""
        failures = 0
        while True:
            try:
                async with connect(
                    f"ws://{self.address}",
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    max_queue=MAX_QUEUED_FRAMES,
                ) as socket:
                    failures = 0
                    await self._serve(socket)
            except (OSError, WebSocketException, TimeoutError):
                failures += 1
            bound = FIRST_RETRY_SECONDS * 2 ** min(failures, 10)
            await asyncio.sleep(
                self._rng.uniform(0.5, 1.0) * min(MAX_RETRY_SECONDS, bound)
            )

    async def attempt(self, call: Call):
        """Yield the frames that answer `call`, a `Failed` or `End` last.

        A call that could not be sent ends with a `Failed` that says not run.
        """
        if not self.is_open:
            yield self._failed(call, Refusal.not_run(Code.LINK_LOST, "link is down"))
            return
        queue = asyncio.Queue(MAX_ATTEMPT_FRAMES)
        self._queue_by_attempt[call.attempt] = queue
        ended = False
        try:
            await self._socket.send(encode(call))
            while not ended:
                frame = await queue.get()
                ended = isinstance(frame, Failed | End)
                yield frame
        except ConnectionClosed:
            ended = True
            yield self._failed(call, Refusal.unknown(Code.LINK_LOST, "link was lost"))
        finally:
            self._queue_by_attempt.pop(call.attempt, None)
            if not ended:
                await self.send(Cancel(call.attempt))

    async def offer_configuration(self):
        """Hand the held configuration to the sidecar if it is behind."""
        feed = self._entry.feed
        if self._socket and feed.document.revision > self.peer_revision:
            self.peer_revision = feed.document.revision
            await self.send(ConfigurationOffer(feed.document.revision, feed.json))

    async def send(self, message):
        """Send a message unless the link is lost."""
        if self._socket:
            with suppress(ConnectionClosed):
                await self._socket.send(encode(message))

    async def _serve(self, socket):
        await socket.send(encode(self._entry.hello()))
        self._socket = socket
        for message in self._entry.facts.messages():
            await self.send(message)
        log.info("link_opened", address=self.address)
        try:
            async for frame in socket:
                match decode(frame):
                    case Ok(message):
                        await self._handle(message)
                    case Err(refusal):
                        self._entry.metrics.bad_messages.inc()
                        await socket.close(1002, refusal.detail[:100])
        finally:
            self._close()

    def _close(self):
        self._socket = None
        self.load = None
        self.peer_revision = 0
        lost = Refusal.unknown(Code.LINK_LOST, "link was lost")
        for attempt, queue in self._queue_by_attempt.items():
            self._put(queue, attempt, Failed.from_refusal(attempt, lost))
        log.info("link_lost", address=self.address, upstream=self.name)

    async def _handle(self, message):
        match message:
            case Chunk(attempt=attempt):
                self._deliver(attempt, message)
            case End(attempt=attempt):
                self._entry.links.observe_end(self, message)
                self._deliver(attempt, message)
            case Failed(attempt=attempt):
                self._deliver(attempt, message)
            case Load(revision=revision):
                self.load = message
                self._entry.links.observe_report(self)
                self.peer_revision = max(self.peer_revision, revision)
            case Hello(name=name, data_centre=data_centre, revision=revision):
                self.name, self.data_centre = name, data_centre
                self.peer_revision = revision
                await self.offer_configuration()
            case ConfigurationOffer(revision=revision, document=document):
                self.peer_revision = max(self.peer_revision, revision)
                self._entry.feed.offer(document, self.name)
            case Facts():
                self._entry.facts.receive(message)
            case _:
                self._entry.metrics.bad_messages.inc()
                await self._socket.close(1002, f"unexpected {message.kind}")

    def _deliver(self, attempt, message):
        queue = self._queue_by_attempt.get(attempt)
        if queue is None:
            self._entry.metrics.dropped_frames.inc()
            return
        self._put(queue, attempt, message)

    def _put(self, queue, attempt, message):
        if queue.full():
            queue.get_nowait()
            broken = Refusal.unknown(Code.ANSWER_BROKEN, "entry read too slowly")
            message = Failed.from_refusal(attempt, broken)
        queue.put_nowait(message)

    def _failed(self, call, refusal):
        return Failed.from_refusal(call.attempt, refusal)
