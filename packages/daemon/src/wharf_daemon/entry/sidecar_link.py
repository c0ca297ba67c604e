"""Client side of the link from an entry to a sidecar."""

import asyncio
from contextlib import suppress

import structlog
from result import Ok
from websockets.asyncio.client import connect
from websockets.exceptions import (
    ConnectionClosed,
    ConnectionClosedError,
    WebSocketException,
)
from websockets.frames import CloseCode

from wharf_coordination import Backoff, Code, Refusal
from wharf_daemon.configuration_exchange import ConfigurationExchange
from wharf_daemon.entry.attempt_inbox import AttemptInbox
from wharf_daemon.link_options import LINK_OPTIONS
from wharf_daemon.protocol_violation import closed_for_violation, refuse_unexpected
from wharf_wire import (
    Call,
    Cancel,
    Chunk,
    ClaimReply,
    ConfigurationOffer,
    ConfigurationRequest,
    Credit,
    End,
    Facts,
    Failed,
    Hello,
    Load,
    OrderResult,
    RevisionNotice,
    decode,
    encode,
)

__all__ = ["SidecarLink"]

RECONNECT_BACKOFF = Backoff(first=0.1, longest=2.0)
STABLE_SECONDS = 1.0

log = structlog.get_logger(__name__)


class SidecarLink:
    """Maintain a connection to one sidecar and run attempts over it."""

    def __init__(self, address, entry, rng):
        self.address = address
        self.name = ""
        self.data_centre = ""
        self.load = None
        self.exchange = ConfigurationExchange(
            entry.feed, entry.fetcher, entry.metrics, self.send
        )
        self._entry = entry
        self._rng = rng
        self._socket = None
        self._is_retired = False
        self._inbox_by_attempt = {}

    @property
    def is_open(self):
        """Return whether calls can be sent."""
        return self._socket is not None and self.load is not None

    @property
    def in_flight(self):
        """Return the number of this entry's attempts on the link."""
        return len(self._inbox_by_attempt)

    async def run(self):
        """Connect, and reconnect with backoff, until cancelled or retired."""
        failures = 0
        while not self._is_retired:
            started_at = self._now()
            try:
                async with self._connect() as socket:
                    await self._serve(socket)
            except ConnectionClosedError as error:
                if closed_for_violation(error):
                    self._entry.metrics.bad_messages.inc()
            except (OSError, WebSocketException, TimeoutError):
                pass
            was_stable = self._now() - started_at > STABLE_SECONDS
            failures = 0 if was_stable else failures + 1
            await asyncio.sleep(RECONNECT_BACKOFF.delay(failures, self._rng))

    def retire(self):
        """Send no more calls and close the link after the last one."""
        self._is_retired = True

    async def attempt(self, call: Call):
        """Send `call` and yield its frames; the last is an `End` or `Failed`.

        If the link is down, the only frame is a `Failed` that says not run.
        """
        if not self.is_open or self._is_draining:
            yield self._failed_frame(
                call, Refusal.not_run(Code.LINK_LOST, "link is down")
            )
            return
        inbox = self._inbox_by_attempt[call.attempt] = AttemptInbox(call.attempt)
        ended = False
        try:
            await self._socket.send(encode(call))
            while not ended:
                frame = await inbox.get()
                ended = isinstance(frame, Failed | End)
                yield frame
                if cost := inbox.consume(frame):
                    await self.send(Credit(call.attempt, cost))
        except ConnectionClosed:
            ended = True
            yield self._failed_frame(
                call, Refusal.unknown(Code.LINK_LOST, "link was lost")
            )
        finally:
            self._inbox_by_attempt.pop(call.attempt, None)
            # In tasks, since a silent sidecar must not delay the caller's answer.
            if not ended or inbox.is_broken:
                asyncio.ensure_future(self.send(Cancel(call.attempt)))
            asyncio.ensure_future(self._close_if_drained())

    def notify_revision(self):
        """Notify the sidecar of the current revision, if its hello has arrived."""
        if self._socket and self.name:
            self.exchange.notify_peer()

    async def send(self, message):
        """Send a message; drop it if the link is down."""
        if self._socket:
            with suppress(ConnectionClosed):
                await self._socket.send(encode(message))

    def _connect(self):
        return connect(f"ws://{self.address}", proxy=None, **LINK_OPTIONS)

    async def _serve(self, socket):
        await socket.send(encode(self._entry.hello()))
        self._socket = socket
        try:
            for message in self._entry.facts.messages():
                await self.send(message)
            await self._read(socket)
        finally:
            self._on_lost()

    async def _read(self, socket):
        async for frame in socket:
            handled = decode(frame).and_then(self._handle)
            if handled.is_err():
                self._entry.metrics.bad_messages.inc()
                detail = handled.unwrap_err().detail
                log.warning("link_violated", address=self.address, detail=detail)
                self._socket = None
                await socket.close(CloseCode.PROTOCOL_ERROR, detail[:100])
                return
            await self._close_if_drained()

    def _on_lost(self):
        if self.load is not None:
            self._entry.metrics.links.dec()
            log.info("link_lost", address=self.address, upstream=self.name)
        self._socket = None
        self.load = None
        self.name = ""
        self.exchange.reset()
        lost = Refusal.unknown(Code.LINK_LOST, "link was lost")
        for attempt, inbox in self._inbox_by_attempt.items():
            inbox.put(Failed.from_refusal(attempt, lost))

    def _handle(self, message):
        if not self.name and not isinstance(message, Hello):
            return refuse_unexpected(message)
        match message:
            case End():
                self._entry.links.observe_end(self, message)
                self._deliver(message)
            case Chunk() | Failed():
                self._deliver(message)
            case Load():
                self._observe_load(message)
            case Hello(name=name, data_centre=data_centre, revision=revision):
                self.name, self.data_centre = name, data_centre
                self.exchange.observe_revision(revision)
            case RevisionNotice(revision=revision):
                self.exchange.observe_revision(revision)
            case ConfigurationRequest():
                self.exchange.send_configuration()
            case ConfigurationOffer():
                self._entry.feed.receive(message, self.name)
            case Facts():
                self._entry.facts.receive(message)
            case ClaimReply() | OrderResult():
                self._entry.replies.resolve(message)
            case _:
                return refuse_unexpected(message)
        return Ok(None)

    def _observe_load(self, load):
        if self.load is None:
            self._entry.metrics.links.inc()
            log.info("link_opened", address=self.address, upstream=self.name)
        self.load = load
        self._entry.links.observe_report(self)
        self.exchange.observe_revision(load.revision)

    @property
    def _is_draining(self):
        return self._is_retired or self.load.leaving

    async def _close_if_drained(self):
        # A leaving sidecar waits until the entry closes the link, since after that
        # no call can be in transit.
        if self.is_open and self._is_draining and not self.in_flight:
            await self._socket.close()

    def _deliver(self, message):
        inbox = self._inbox_by_attempt.get(message.attempt)
        if inbox is None:
            self._entry.metrics.dropped_frames.inc()
            return
        inbox.put(message)

    def _failed_frame(self, call, refusal):
        return Failed.from_refusal(call.attempt, refusal)

    def _now(self):
        return asyncio.get_running_loop().time()
