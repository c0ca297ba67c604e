"""An upstream that runs the pieces of steps."""

import asyncio
import json
from itertools import count

from wharf_adapter import names
from wharf_standins.soak.loopback_server import LoopbackServer
from wharf_standins.soak.wire import STEP_SERVICE, read_request

__all__ = ["StepUpstream"]

MAX_WAITING_CALLS = 2


class StepUpstream(LoopbackServer):
    """Run one call with pieces at a time on loopback; others wait or are refused.

    `owner_by_result` has the id of the request for which each result was made, until
    the result is dropped; all upstreams of a run share it.
    """

    service = STEP_SERVICE

    def __init__(self, name, owner_by_result, call_seconds):
        super().__init__()
        self.name = name
        self.call_seconds = call_seconds
        self.owner_by_result = owner_by_result
        self._numbers = count()
        self._slot = asyncio.Lock()
        self._calls = 0

    async def answer(self, reader, writer):
        """Answer one call."""
        status, document = await self._run(*await read_request(reader))
        body = json.dumps(document).encode()
        # The statuses that mean that nothing was run.
        field = f"{names.NOT_RUN}: 1\r\n" if status in (421, 503) else ""
        head = f"HTTP/1.1 {status} OK\r\n{field}Content-Length: {len(body)}"
        writer.write(f"{head}\r\n\r\n".encode() + body)
        await writer.drain()

    async def _run(self, path, fields, body):
        match path:
            case names.FREE_RESULTS_PATH:
                for handle in json.loads(body)["handles"]:
                    self.owner_by_result.pop(handle, None)
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
        return 200, {"entries": list(map(self.run_piece, json.loads(body)["entries"]))}

    def run_piece(self, piece):
        """Return the result of a piece; one with another's input belongs to that."""
        owners = [
            self.owner_by_result.get(handle) for handle in piece.get("inputs", ())
        ]
        if None in owners:
            return {"reason": "gone"}
        others = [owner for owner in owners if owner != piece["id"]]
        handle = f"{self.address}/{next(self._numbers)}"
        self.owner_by_result[handle] = others[0] if others else piece["id"]
        return {"handle": handle}
