"""An upstream that crashes as it answers certain requests."""

import asyncio

from wharf_adapter import names
from wharf_standins.soak.crash_place import CrashPlace
from wharf_standins.soak.loopback_server import LoopbackServer
from wharf_standins.soak.wire import ENGINES, event, read_request

__all__ = ["CrashingUpstream"]

READ_SECONDS = 0.02
EVENTS = 3


class CrashingUpstream(LoopbackServer):
    """Answer streams; crash on those whose prompt has `deadly_part`.

    A crash closes all connections at the `place` in the answer, and nothing listens for
    `down_seconds`. `crashed_at` has the loop's times of its crashes.
    """

    service = ENGINES

    def __init__(
        self,
        name,
        deadly_part,
        down_seconds,
        place=CrashPlace.HEAD,
        event_seconds=READ_SECONDS,
    ):
        super().__init__()
        self.name = name
        self.crashed_at = []
        self._deadly_part = deadly_part
        self._down_seconds = down_seconds
        self._place = place
        self._event_seconds = event_seconds
        self._restart = None

    def stop(self):
        """Close the server for good and release its address."""
        super().stop()
        if self._restart is not None:
            self._restart.cancel()

    async def answer(self, reader, writer):
        """Answer one request, or crash."""
        _, fields, _ = await read_request(reader)
        request_id = fields[names.ATTEMPT_ID.lower()]
        first = int(fields.get(names.LAST_EVENT.lower(), -1)) + 1
        place = self._crash_place(fields[names.PROMPT.lower()], first)
        events = [event(request_id, number) for number in range(first, EVENTS)]
        await asyncio.sleep(READ_SECONDS)
        if place is CrashPlace.ODD_FAILURE and int(request_id[-1]) % 2:
            writer.write(
                f"HTTP/1.1 500 Error\r\n{names.ATTEMPT_ID}: {request_id}\r\n"
                f"{names.SIGNATURE}: 1\r\nContent-Length: 2\r\n\r\n{{}}".encode()
            )
            return
        framing = _framing(place, events)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {request_id}\r\n"
            f"{names.SIGNATURE}: 1\r\n{framing}\r\n\r\n".encode()
        )
        await writer.drain()
        await asyncio.sleep(READ_SECONDS)
        if place is not None:
            await self._answer_in_part(place, events, writer)
            await self.crash()
            return
        for part in events:
            await self._write(b"%x\r\n%s\r\n" % (len(part), part), writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _crash_place(self, prompt, first):
        is_harmless = self._place is CrashPlace.BEGINNING and first > 0
        return None if is_harmless or self._deadly_part not in prompt else self._place

    async def _answer_in_part(self, place, events, writer):
        """Send what comes before the crash."""
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in events]
        match place:
            case CrashPlace.FIRST_EVENT | CrashPlace.BEGINNING | CrashPlace.ODD_FAILURE:
                await self._write(b"".join(chunks[:1]), writer)
            case CrashPlace.INSIDE_EVENT:
                await self._write(b"".join(chunks[:2])[:-9], writer)
            case CrashPlace.LAST_EVENT:
                await self._write(b"".join(chunks), writer)
            case CrashPlace.BODY_WITH_LENGTH:
                await self._write(b"".join(events)[:-9], writer)
            case CrashPlace.END_OF_CONNECTION:
                await self._write(b"".join(events[:1]), writer)
                writer.close()
                await asyncio.sleep(READ_SECONDS / 10)

    async def _write(self, data, writer):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(self._event_seconds)

    async def crash(self):
        """Lose all connections and listen no more for a while, unless this is down."""
        if self._restart is None or self._restart.done():
            self.crashed_at.append(asyncio.get_running_loop().time())
            self.close()
            self._restart = asyncio.ensure_future(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(self._down_seconds)
        await self.start()


def _framing(place, events):
    match place:
        case CrashPlace.BODY_WITH_LENGTH:
            return f"Content-Length: {sum(map(len, events))}"
        case CrashPlace.END_OF_CONNECTION:
            return "Connection: close"
    return "Transfer-Encoding: chunked"
