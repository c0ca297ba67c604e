"""An upstream that answers as the random numbers of a play say."""

import asyncio

from wharf_adapter import names
from wharf_standins.promise.play_request import Run

__all__ = ["PlayUpstream", "event", "response_body"]

EVENTS = 5
SOUND_BEHAVIOURS = ("prompt", "twice", "no_length", "interim", "limited", "early")
UNSOUND_BEHAVIOURS = ("break_before", "break_within", "mute")
# Silences that a sound upstream may take.
SILENCES = (0.0, 0.0, 0.0, 0.05, 0.3, 1.0, 1.9)


def response_body(request_id):
    """Return the response to a request that is no stream."""
    return request_id.encode().ljust(400, b".")


def event(request_id, number):
    """Return an event of the stream for a request."""
    return f"id: {number}\ndata: {request_id}\n\n".encode()


class PlayUpstream:
    """Run requests; `requests` has those of the play by id."""

    def __init__(self, name, service, address, requests, rng, unsound_share):
        self.name = name
        self.service = service
        self.address = address
        self._requests = requests
        self._rng = rng
        self._unsound_share = unsound_share
        self._server = None
        self._transports = set()
        self._runs = []

    @property
    def is_running(self):
        """Return whether it listens."""
        return self._server is not None

    async def start(self):
        """Listen at its address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self):
        """Reset all connections and listen no more."""
        self._server.close()
        self._server = None
        for run in self._runs:
            run.is_sound = False
        for transport in list(self._transports):
            transport.abort()

    async def _serve(self, reader, writer):
        self._transports.add(writer.transport)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._transports.discard(writer.transport)
            writer.close()

    async def _serve_one(self, reader, writer):
        """Answer a request; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *lines = head.split("\r\n")
        fields = dict(text.lower().split(": ", 1) for text in lines if text)
        rng = self._rng
        is_unsound = rng.random() < self._unsound_share
        behaviour = rng.choice(UNSOUND_BEHAVIOURS if is_unsound else SOUND_BEHAVIOURS)
        length = int(fields.get("content-length", 0))
        if behaviour != "early":
            await reader.readexactly(length)
        if fields[names.EXPECTED_UPSTREAM.lower()] != self.name:
            writer.write(_refusal(421, fields))
            return True
        if rng.random() < 0.1:
            await asyncio.sleep(rng.choice(SILENCES))
            writer.write(_refusal(503, fields))
            return True
        request = self._requests[fields[names.ATTEMPT_ID.lower()]]
        run = Run(self.name, asyncio.get_running_loop().time())
        request.runs.append(run)
        self._runs.append(run)
        try:
            return await self._run(
                request, run, behaviour, fields, reader, writer, length
            )
        finally:
            self._runs.remove(run)

    async def _run(self, request, run, behaviour, fields, reader, writer, length):
        rng = self._rng
        await asyncio.sleep(rng.choice(SILENCES))
        match behaviour:
            case "mute":
                run.is_sound = False
                await asyncio.sleep(60)
            case "break_before":
                run.is_sound = False
                writer.transport.abort()
                return False
            case "interim":
                writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        copies = 2 if behaviour == "twice" else 1
        for _ in range(copies):
            await self._answer(request, run, behaviour, fields, writer)
        if behaviour == "early":
            await reader.readexactly(length)
        return behaviour not in ("no_length", "break_within")

    async def _answer(self, request, run, behaviour, fields, writer):
        rng, is_stream = self._rng, request.kind.is_stream
        first = int(fields.get(names.LAST_EVENT.lower(), 0)) + 1
        parts = [response_body(request.id)[:100], response_body(request.id)[100:]]
        if is_stream:
            numbers = range(first, EVENTS + 1)
            parts = [event(request.id, number) for number in numbers]
        has_length = behaviour != "no_length"
        lines = ["HTTP/1.1 200 OK", f"{names.ATTEMPT_ID}: {request.id}"]
        lines += [f"{names.SIGNATURE}: {self.name}"]
        if is_stream and has_length:
            lines.append("Transfer-Encoding: chunked")
        elif has_length:
            lines.append(f"Content-Length: {sum(map(len, parts))}")
        if behaviour == "limited":
            lines.append(f"{names.LIMIT}: 2")
        writer.write("\r\n".join((*lines, "", "")).encode())
        for number, part in enumerate(parts):
            await asyncio.sleep(rng.choice(SILENCES))
            if behaviour == "break_within" and number == len(parts) - 1:
                run.is_sound = False
                writer.transport.abort()
                return
            is_chunked = is_stream and has_length
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if is_chunked else part)
            await writer.drain()
        if is_stream and has_length:
            writer.write(b"0\r\n\r\n")


def _refusal(status, fields):
    call_id = fields[names.ATTEMPT_ID.lower()]
    lines = f"{names.ATTEMPT_ID}: {call_id}\r\n{names.NOT_RUN}: 1\r\nContent-Length: 0"
    return f"HTTP/1.1 {status} No\r\n{lines}\r\n\r\n".encode()
