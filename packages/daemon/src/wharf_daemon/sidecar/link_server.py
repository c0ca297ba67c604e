"""The sidecar's side of the link from one entry."""

import asyncio
from contextlib import suppress

import structlog
from result import Ok
from websockets.exceptions import ConnectionClosed, ConnectionClosedError
from websockets.frames import CloseCode

from wharf_daemon.configuration_exchange import ConfigurationExchange
from wharf_daemon.protocol_violation import closed_for_violation, unexpected
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
    """Serve the calls that arrive on one link."""

    def __init__(self, socket, sidecar):
        self._socket = socket
        self._sidecar = sidecar
        self._call_by_attempt = {}
        self._task_by_attempt = {}
        self._report = None
        self.peer = ""
        self.exchange = ConfigurationExchange(
            sidecar.feed, sidecar.fetcher, sidecar.metrics, self.send_quietly
        )

    async def serve(self):
        """Handle messages until the link closes, then cancel what runs."""
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
        """Send a message; wait while the peer reads too slowly."""
        await self._socket.send(encode(message))

    async def send_quietly(self, message):
        """Send a message unless the link is lost."""
        with suppress(ConnectionClosed):
            await self.send(message)

    async def close(self):
        """Close the link."""
        await self._socket.close(CloseCode.GOING_AWAY)

    def report(self, load):
        """Send a load report, unless the last one is still under way."""
        if self._report is None or self._report.done():
            self._report = asyncio.ensure_future(self.send_quietly(load))

    def notify_revision(self):
        """Tell the peer of a newer configuration, once both have said hello."""
        if self.peer:
            self.exchange.notify()

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
            return unexpected(message)
        match message:
            case Call(revision=revision):
                self._start(message)
                self.exchange.observe(revision)
            case Credit(attempt=attempt, cost=cost):
                if running := self._call_by_attempt.get(attempt):
                    running.credit(cost)
            case Cancel(attempt=attempt):
                if task := self._task_by_attempt.get(attempt):
                    task.cancel()
            case Hello(name=name, revision=revision):
                self.peer = name
                self.exchange.observe(revision)
            case RevisionNotice(revision=revision):
                self.exchange.observe(revision)
            case ConfigurationRequest():
                self.exchange.offer()
            case ConfigurationOffer():
                self._sidecar.feed.receive(message, self.peer)
            case Facts():
                self._sidecar.facts.receive(message)
            case ClaimRequest():
                asyncio.ensure_future(self._claim(message))
            case Order():
                asyncio.ensure_future(self._order(message))
            case _:
                return unexpected(message)
        return Ok(None)

    async def _claim(self, request):
        reply = await self._sidecar.claims.handle(request)
        if reply:
            await self.send_quietly(reply)

    async def _order(self, order):
        result = await self._sidecar.orders.handle(order)
        await self.send_quietly(OrderResult.from_result(order.id, result))

    def _start(self, call):
        if not self._sidecar.seen.add(call.attempt):
            self._sidecar.metrics.dropped_frames.inc()
            return
        running = RunningCall(call, self._sidecar, self)
        task = asyncio.create_task(running.run())
        self._call_by_attempt[call.attempt] = running
        self._task_by_attempt[call.attempt] = task
        task.add_done_callback(lambda _: self._forget(call.attempt))

    def _forget(self, attempt):
        del self._call_by_attempt[attempt]
        del self._task_by_attempt[attempt]
