"""Server side of the link from an entry to a sidecar."""

import asyncio
from contextlib import suppress

import structlog
from result import Ok
from websockets.exceptions import ConnectionClosed, ConnectionClosedError
from websockets.frames import CloseCode

from wharf_daemon.configuration_exchange import ConfigurationExchange
from wharf_daemon.protocol_violation import closed_for_violation, refuse_unexpected
from wharf_daemon.sidecar.running_call import RunningCall
from wharf_wire import (
    Call,
    Cancel,
    ClaimRequest,
    ConfigurationOffer,
    ConfigurationRequest,
    Credit,
    Facts,
    Hello,
    Order,
    OrderResult,
    RevisionNotice,
    decode,
    encode,
)

__all__ = ["LinkServer"]

log = structlog.get_logger(__name__)


class LinkServer:
    """Serve the messages that arrive on one link."""

    def __init__(self, socket, sidecar):
        self._socket = socket
        self._sidecar = sidecar
        self._call_by_attempt = {}
        self._task_by_attempt = {}
        self._report_task = None
        self.peer = ""
        self.exchange = ConfigurationExchange(
            sidecar.feed, sidecar.fetcher, sidecar.metrics, self.send_if_open
        )

    async def serve(self):
        """Handle messages until the link closes, then cancel running calls."""
        try:
            await self.send(self._sidecar.hello())
            await self.send(self._sidecar.load())
            for message in self._sidecar.facts.messages():
                await self.send(message)
            await self._read()
        except ConnectionClosedError as error:
            if closed_for_violation(error):
                self._sidecar.metrics.bad_messages.inc()
        except ConnectionClosed:
            pass
        finally:
            self.exchange.reset()
            for task in self._task_by_attempt.values():
                task.cancel()

    async def send(self, message):
        """Send a message; wait while the connection's buffer is full."""
        await self._socket.send(encode(message))

    async def send_if_open(self, message):
        """Send a message; drop it if the link is closed."""
        with suppress(ConnectionClosed):
            await self.send(message)

    async def close(self):
        """Close the link."""
        await self._socket.close(CloseCode.GOING_AWAY)

    def report(self, load):
        """Send a load report, unless the previous one is still being sent."""
        if self._report_task is None or self._report_task.done():
            self._report_task = asyncio.ensure_future(self.send_if_open(load))

    def notify_revision(self):
        """Notify the peer of the current revision, if its hello has arrived."""
        if self.peer:
            self.exchange.notify_peer()

    async def _read(self):
        async for frame in self._socket:
            handled = decode(frame).and_then(self._handle)
            if handled.is_err():
                self._sidecar.metrics.bad_messages.inc()
                detail = handled.unwrap_err().detail
                log.warning("link_violated", peer=self.peer, detail=detail)
                await self._socket.close(CloseCode.PROTOCOL_ERROR, detail[:100])
                return

    def _handle(self, message):
        if not self.peer and not isinstance(message, Hello):
            return refuse_unexpected(message)
        match message:
            case Call(revision=revision):
                self._start_call(message)
                self.exchange.observe_revision(revision)
            case Credit(attempt=attempt, cost=cost):
                if running := self._call_by_attempt.get(attempt):
                    running.credit(cost)
            case Cancel(attempt=attempt):
                if task := self._task_by_attempt.get(attempt):
                    task.cancel()
            case Hello(name=name, revision=revision):
                self.peer = name
                self.exchange.observe_revision(revision)
            case RevisionNotice(revision=revision):
                self.exchange.observe_revision(revision)
            case ConfigurationRequest():
                self.exchange.send_configuration()
            case ConfigurationOffer():
                self._sidecar.feed.receive(message, self.peer)
            case Facts():
                self._sidecar.facts.receive(message)
            case ClaimRequest():
                asyncio.ensure_future(self._handle_claim(message))
            case Order():
                asyncio.ensure_future(self._handle_order(message))
            case _:
                return refuse_unexpected(message)
        return Ok(None)

    async def _handle_claim(self, request):
        reply = await self._sidecar.claims.handle(request)
        if reply:
            await self.send_if_open(reply)

    async def _handle_order(self, order):
        result = await self._sidecar.orders.handle(order)
        await self.send_if_open(OrderResult.from_result(order.id, result))

    def _start_call(self, call):
        if not self._sidecar.seen_attempts.add(call.attempt):
            self._sidecar.metrics.dropped_frames.inc()
            return
        running = RunningCall(call, self._sidecar, self)
        task = asyncio.create_task(running.run())
        self._call_by_attempt[call.attempt] = running
        self._task_by_attempt[call.attempt] = task
        task.add_done_callback(lambda _: self._remove_call(call.attempt))

    def _remove_call(self, attempt):
        del self._call_by_attempt[attempt]
        del self._task_by_attempt[attempt]
