"""HTTP endpoint for callers."""

import asyncio
from contextlib import suppress

import structlog
from aiohttp import web
from result import Err, Ok

from wharf_coordination import Code, Refusal
from wharf_daemon.entry.event_stream import EventStream
from wharf_daemon.entry.refusal_response import (
    CODE_HEADER,
    REQUEST_HEADER,
    refusal_response,
)
from wharf_daemon.entry.running_requests import EntryStoppedError

__all__ = ["CallerApi"]

log = structlog.get_logger(__name__)


class CallerApi:
    """Serve `POST /v1/pipelines/NAME` as one response or an event stream."""

    def __init__(self, entry, reader, runner, max_body):
        self._entry = entry
        self._reader = reader
        self._runner = runner
        self._max_body = max_body

    def application(self):
        """Return the aiohttp application with the endpoint."""
        application = web.Application(
            client_max_size=self._max_body, middlewares=[self._handle_errors]
        )
        application.router.add_post("/v1/pipelines/{name}", self._post)
        application.on_response_prepare.append(self._close_if_stopping)
        return application

    async def _post(self, http):
        request_id = self._entry.next_request_id()
        with self._entry.requests.admit(request_id) as admitted:
            if admitted.is_err():
                return self._refused(request_id, admitted.unwrap_err(), "")
            try:
                response = await self._answer(http, request_id)
                await self._send(http, response)
                return response
            except asyncio.CancelledError:
                if http.transport is not None:
                    self._entry.count_unanswered(request_id, "handler_failed")
                raise

    async def _send(self, http, response):
        # Done here and not by aiohttp, so that the request is under way until then.
        with suppress(ConnectionResetError):
            await response.prepare(http)
            await response.write_eof()

    async def _answer(self, http, request_id):
        now = asyncio.get_running_loop().time()
        read = await self._read(http, request_id, now)
        if read.is_err():
            return self._refused(request_id, read.unwrap_err(), "")
        request = read.unwrap()
        try:
            if request.streaming:
                return await self._respond_streaming(http, request)
            return await self._respond(request)
        except asyncio.CancelledError:
            self._count(request.pipeline, Code.CALLER_LEFT)
            raise

    async def _read(self, http, request_id, now):
        try:
            async with self._entry.requests.until_end():
                return await self._reader.read(http, request_id, now)
        except EntryStoppedError:
            detail = "the entry stopped before the body was received"
            return Err(Refusal.not_run(Code.ENTRY_STOPPING, detail))

    async def _respond(self, request):
        match await self._run(request):
            case Ok(body):
                self._count(request.pipeline, Code.OK)
                headers = {
                    CODE_HEADER: str(int(Code.OK)),
                    REQUEST_HEADER: request.id,
                }
                return web.Response(
                    body=body, content_type="application/json", headers=headers
                )
            case Err(refusal):
                return self._refused(request.id, refusal, request.pipeline)

    async def _respond_streaming(self, http, request):
        stream = EventStream(http, request.id)
        try:
            outcome = await self._run(request, stream.send_chunks)
            if outcome.is_err() and not stream.is_started:
                return self._refused(request.id, outcome.unwrap_err(), request.pipeline)
            await stream.close(outcome)
        except ConnectionResetError:
            outcome = Err(Refusal.unknown(Code.CALLER_LEFT))
        code = Code.OK if outcome.is_ok() else outcome.unwrap_err().code
        self._count(request.pipeline, code)
        return stream.response

    async def _run(self, request, on_chunks=None):
        try:
            async with self._entry.requests.until_end():
                return await self._runner.run(request, on_chunks)
        except ConnectionResetError:
            raise
        except EntryStoppedError:
            detail = "the entry stopped before the request ended"
            return Err(Refusal.unknown(Code.OUTCOME_UNKNOWN, detail))
        except Exception:
            log.exception("request_failed", request=request.id)
            return Err(Refusal.unknown(Code.INTERNAL))

    @web.middleware
    async def _handle_errors(self, http, handler):
        """Convert routing errors and unexpected exceptions into refusals."""
        request_id = self._entry.next_request_id()
        try:
            return await handler(http)
        except web.HTTPNotFound:
            detail = f"{http.path}: expected /v1/pipelines/NAME"
            refusal = Refusal.not_run(Code.UNKNOWN_PATH, detail)
        except web.HTTPMethodNotAllowed:
            refusal = Refusal.not_run(Code.BAD_METHOD, f"{http.method}: expected POST")
        except Exception:
            log.exception("request_failed", request=request_id)
            refusal = Refusal.unknown(Code.INTERNAL)
        return self._refused(request_id, refusal, "")

    async def _close_if_stopping(self, http, response):
        # Otherwise callers would reuse a connection that the stop then resets.
        if self._entry.stopping and not _has_pipelined_request(http):
            response.force_close()
            response.headers["Connection"] = "close"

    def _refused(self, request_id, refusal: Refusal, pipeline):
        self._count(pipeline, refusal.code)
        return refusal_response(request_id, refusal)

    def _count(self, pipeline, code):
        self._entry.metrics.requests.labels(pipeline, code.label).inc()


def _has_pipelined_request(http):
    # aiohttp has no public attribute for the requests behind the current one.
    return bool(http.protocol._messages)
