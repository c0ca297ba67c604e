"""An upstream that reports which requests it runs."""

import asyncio

from wharf_adapter import names
from wharf_standins.soak.loopback_server import LoopbackServer
from wharf_standins.soak.request import RequestKind
from wharf_standins.soak.wire import ENGINES, EVENTS, event, read_request, response_body

__all__ = ["SoakUpstream"]

WORK_SECONDS = 0.03
EVENT_INTERVAL_SECONDS = 0.02
STEPS_PATH = f"/{RequestKind.STEPS}/"
STREAM_PATHS = tuple(f"/{kind}/" for kind in RequestKind if kind.is_stream)
SIGNATURE = f"{names.SIGNATURE}: soak"


class SoakUpstream(LoopbackServer):
    """Answer on loopback; call `record_run(upstream, request_id)` as a run begins.

    `rate_limit`, if set, is named in the answers, in requests a second. An answer
    begins after `work_seconds`; in the middle of a stream it is silent for
    `silent_seconds`. `owner_by_result` has the results of steps; a stream is that of
    the request for which its inputs were made. With `is_leaving` all answers say that
    it leaves; until `quiet_until` it turns requests away and wants no more of them.
    `words`, if given, is told of all this.
    """

    service = ENGINES

    def __init__(self, name, record_run, owner_by_result=None, words=None):
        super().__init__()
        self.name = name
        self.owner_by_result = {} if owner_by_result is None else owner_by_result
        self.work_seconds = WORK_SECONDS
        self.silent_seconds = 0.0
        self._record_run = record_run
        self.rate_limit = None
        self.is_leaving = False
        self.quiet_until = 0.0
        self._words = words

    async def answer(self, reader, writer):
        """Answer one request."""
        path, fields, _ = await read_request(reader)
        is_stream = path.startswith(STREAM_PATHS)
        request_id = owner = fields.get(names.ATTEMPT_ID.lower())
        if request_id is None:
            self._refuse(writer, "", "400 No id")
            return
        if fields.get(names.EXPECTED_UPSTREAM.lower()) != self.name:
            self._refuse(writer, request_id, "421 Other")
            return
        if path.startswith(STEPS_PATH):
            handles = fields.get(names.INPUTS.lower(), "").split(",")
            owners = {self.owner_by_result.get(handle) for handle in handles}
            if None in owners:
                self._refuse(writer, request_id, "409 Gone")
                return
            owner = min(owners - {request_id}, default=request_id)
        if self._words is not None:
            self._words.record_arrival(self.name, request_id)
        quiet = self.quiet_until - asyncio.get_running_loop().time()
        if quiet > 0:
            wait = f"{names.RETRY_AFTER}: {quiet:.3f}\r\n"
            self._refuse(writer, request_id, "503 Quiet", wait)
            if self._words is not None:
                self._words.record_quiet(self.name, request_id, quiet)
            return
        self._record_run(self, request_id)
        await asyncio.sleep(self.work_seconds)
        head = f"HTTP/1.1 200 OK\r\n{names.ATTEMPT_ID}: {request_id}\r\n{SIGNATURE}\r\n"
        if self.rate_limit is not None:
            head += f"{names.LIMIT}: {self.rate_limit}\r\n"
        head += self._leaving_field
        if self.is_leaving and self._words is not None:
            self._words.record_leaving(self.name, request_id)
        if not is_stream:
            data = response_body(request_id)
            writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            return
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(EVENTS):
            part = event(owner, number)
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            is_middle = number == EVENTS // 2
            await asyncio.sleep(
                EVENT_INTERVAL_SECONDS + (self.silent_seconds if is_middle else 0.0)
            )
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    @property
    def _leaving_field(self):
        return f"{names.LEAVING}: 1\r\n" if self.is_leaving else ""

    def _refuse(self, writer, request_id, status, field=""):
        head = f"HTTP/1.1 {status}\r\n{names.ATTEMPT_ID}: {request_id}\r\n"
        head += f"{names.NOT_RUN}: 1\r\n{field}"
        head += self._leaving_field
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
