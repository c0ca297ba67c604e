"""A caller of a play: one kept connection after the other."""

import asyncio

import httptools

from wharf_adapter import names
from wharf_standins.promise.play_configuration import HOST, KEYS
from wharf_standins.promise.play_request import RequestKind

__all__ = ["PlayCaller"]


class _Connection(asyncio.Protocol):
    """Write the bytes of requests, and give each its response."""

    def __init__(self, clock):
        self._clock = clock
        self._parser = httptools.HttpResponseParser(self)
        self.transport = None
        self.requests = []
        self.written = 0
        self.has_left = False
        self.lost = asyncio.Event()
        self.answered = asyncio.Event()
        self.stray_bytes = False

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        now = self._clock()
        for request in self.requests:
            if request.ended_at is None and request.gateway:
                request.ended_at = now
                request.has_left = self.has_left
        self.lost.set()
        self.answered.set()

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.stray_bytes = True
            self.transport.abort()

    def write(self, data):
        """Write data; return whether the connection is open."""
        if self.transport.is_closing():
            return False
        self.transport.write(data)
        self.written += len(data)
        return True

    @property
    def unanswered(self):
        """Return the number of requests whose response is due."""
        return sum(request.ended_at is None for request in self.requests)

    @property
    def first(self):
        """Return the request whose response is due."""
        return next((r for r in self.requests if r.ended_at is None), None)

    def on_message_begin(self):
        self._body = b""

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status >= 200 and self.first is not None:
            self.first.status = status

    def on_body(self, body):
        self._body += body
        if self.first is not None:
            self.first.body = self._body

    def on_message_complete(self):
        if self._parser.get_status_code() < 200 or self.first is None:
            return
        request = self.first
        request.ended_at = self._clock()
        request.is_complete = True
        self.answered.set()


class PlayCaller:
    """Send requests over connections that are kept, in pieces and with pauses."""

    def __init__(self, name, gateways, requests, rng, clock, network):
        self._name = name
        self._gateways = gateways
        self._rng = rng
        self._clock = clock
        self._network = network
        self.requests = requests
        self.has_stray_bytes = False
        self.pauses = []

    async def run(self, until):
        """Send all requests that can be sent before the time `until`."""
        rest = list(self.requests)
        while rest and self._clock() < until:
            gateway = self._rng.choice(self._gateways)
            connection = _Connection(self._clock)
            host, _, port = gateway.listen.rpartition(":")
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(0.3):
                    await loop.create_connection(lambda: connection, host, int(port))  # noqa: B023
            except (OSError, TimeoutError):
                await asyncio.sleep(self._rng.uniform(0.05, 0.5))
                continue
            await self._use(connection, gateway, rest, until)
            self.has_stray_bytes |= connection.stray_bytes

    async def _use(self, connection, gateway, rest, until):
        """Send requests until the connection ends."""
        rng = self._rng
        while rest and self._clock() < until and not connection.transport.is_closing():
            request = rest.pop(0)
            request.gateway = gateway.name
            request.transport = connection.transport
            request.before = next(reversed(connection.requests), None)
            request.ahead = connection.unanswered
            connection.requests.append(request)
            await self._send(connection, request)
            if rng.random() < 0.04:
                connection.transport.pause_reading()
                begin, seconds = self._clock(), rng.choice((0.3, 2.0))
                self.pauses.append((begin, begin + seconds))
                await asyncio.sleep(seconds)
                connection.transport.resume_reading()
            if rng.random() < 0.04:
                await asyncio.sleep(rng.choice((0.0, 0.1, 1.0)))
                connection.has_left = True
                connection.transport.abort()
                break
            if rng.random() < 0.4:
                continue
            while connection.first is not None and not connection.lost.is_set():
                connection.answered.clear()
                await connection.answered.wait()
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.05, 0.299, 0.997, 0.9985, 2.0)))
        while connection.first is not None and not connection.lost.is_set():
            connection.answered.clear()
            await connection.answered.wait()
        if connection.transport.is_closing():
            await connection.lost.wait()
        else:
            connection.has_left = True
            connection.transport.close()

    async def _send(self, connection, request):
        rng = self._rng
        head, body = self._bytes(request)
        pieces = [head, body]
        if rng.random() < 0.4:
            data = head + body
            cuts = sorted(rng.sample(range(1, len(data)), rng.randint(1, 4)))
            pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, None], strict=True)]
        sent = 0
        for piece in pieces:
            if sent and rng.random() < 0.4:
                await asyncio.sleep(rng.choice((0.0, 0.01, 0.2, 0.9985, 1.5)))
            if not connection.write(piece):
                return
            sent += len(piece)
            if sent >= len(head) and request.head_at is None:
                request.head_at = self._clock()
        request.sent_at = self._clock()
        request.end_offset = connection.written

    def _bytes(self, request):
        rng = self._rng
        kind = request.kind
        lines = [f"POST /{kind}/x HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{names.ATTEMPT_ID}: {request.id}"]
        lines += [f"{names.DEADLINE}: {int(request.seconds * 1000)}"]
        if kind is RequestKind.KEYED:
            lines.append(f"Authorization: Bearer {rng.choice(KEYS)}")
        if kind is RequestKind.STEPS:
            lines += [f"{names.CHUNKS}: 2,1", f"{names.CHUNK_KEY}: {request.id}"]
        body = bytes(rng.choice((0, 0, 3, 50, 5000)))
        if body and rng.random() < 0.4:
            lines.append("Transfer-Encoding: chunked")
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        else:
            lines.append(f"Content-Length: {len(body)}")
            if body and rng.random() < 0.1:
                lines.append("Expect: 100-continue")
        return "\r\n".join((*lines, "", "")).encode(), body
