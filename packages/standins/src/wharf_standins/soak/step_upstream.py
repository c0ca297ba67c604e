"""An upstream that runs the pieces of steps."""

import asyncio
import json
from contextlib import suppress
from itertools import count

from wharf_adapter import names
from wharf_standins.soak.wire import STEP_SERVICE, read_request

__all__ = ["StepUpstream"]

MAX_WAITING_CALLS = 2


class StepUpstream:
    """Run one call with pieces at a time on loopback; others wait or are refused.

    `owner_by_result` has the id of the request for which each result was made, until
    the result is dropped; all upstreams of a run share it.
    """

    service = STEP_SERVICE

    def __init__(self, name, owner_by_result, call_seconds):
        self.name = name
        self.call_seconds = call_seconds
        self._owner_by_result = owner_by_result
        self._numbers = count()
        self._slot = asyncio.Lock()
        self._calls = 0
        self._server = None
        self._address = None

    async def start(self):
        """Listen on loopback and return the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self._address = f"{host}:{port}"
        return port

    def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                status, document = await self._answer(*await read_request(reader))
                body = json.dumps(document).encode()
                # The statuses that mean that nothing was run.
                field = f"{names.NOT_RUN}: 1\r\n" if status in (421, 503) else ""
                head = f"HTTP/1.1 {status} OK\r\n{field}Content-Length: {len(body)}"
                writer.write(f"{head}\r\n\r\n".encode() + body)
                await writer.drain()
        writer.close()

    async def _answer(self, path, fields, body):
        match path:
            case names.FREE_RESULTS_PATH:
                for handle in json.loads(body)["handles"]:
                    self._owner_by_result.pop(handle, None)
                return 200, {}
            case names.REPORT_PATH:
                waiting = max(0, self._calls - 1)
                return 200, {"queued": waiting, "busy": self._calls, "freeMb": 10}
        if fields.get(names.EXPECTED_UPSTREAM.lower()) != self.name:
            return 421, {}
        if self._calls > MAX_WAITING_CALLS:
            return 503, {}
        self._calls += 1
        try:
            async with self._slot:
                await asyncio.sleep(self.call_seconds)
        finally:
            self._calls -= 1
        return 200, {"entries": list(map(self._run, json.loads(body)["entries"]))}

    def _run(self, piece):
        owners = [
            self._owner_by_result.get(handle) for handle in piece.get("inputs", ())
        ]
        if None in owners:
            return {"reason": "gone"}
        # A result with an input of another request belongs to that request.
        others = [owner for owner in owners if owner != piece["id"]]
        handle = f"{self._address}/{next(self._numbers)}"
        self._owner_by_result[handle] = others[0] if others else piece["id"]
        return {"handle": handle}
