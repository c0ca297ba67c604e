"""An answer on its way to a caller as a stream of events."""

import json

from aiohttp import web
from result import Err, Ok

from wharf_daemon.entry.refusal_response import REQUEST_HEADER, refusal_fields
from wharf_daemon.entry.request_reader import STREAM_TYPE

__all__ = ["EventStream"]


class EventStream:
    """Send numbered chunks and one closing event that proves the answer whole.

    Nothing is sent before the first chunk, so that a request refused until then
    still gets an HTTP status of its own.
    """

    def __init__(self, http, request_id):
        self._http = http
        self._request_id = request_id
        self._count = 0
        self.response = web.StreamResponse(headers={REQUEST_HEADER: request_id})
        self.response.content_type = STREAM_TYPE

    @property
    def is_begun(self):
        """Return whether the caller was sent anything."""
        return self.response.prepared

    async def send_chunk(self, body):
        """Send one chunk; wait while the caller reads too slowly."""
        await self._send("chunk", {"sequence": self._count, "text": body.decode()})
        self._count += 1

    async def close(self, outcome):
        """Send the closing event: the count of the chunks, or the refusal."""
        match outcome:
            case Ok(_):
                await self._send("end", {"chunks": self._count})
            case Err(refusal):
                await self._send("error", refusal_fields(self._request_id, refusal))

    async def _send(self, kind, data):
        if not self.response.prepared:
            await self.response.prepare(self._http)
        event = f"event: {kind}\ndata: {json.dumps(data)}\n\n"
        await self.response.write(event.encode())
