"""Server-sent event stream of an answer."""

import asyncio
import itertools
import json

from aiohttp import web
from result import Err, Ok

from wharf_daemon.entry.refusal_response import REQUEST_HEADER, refusal_fields
from wharf_daemon.entry.request_reader import STREAM_TYPE

__all__ = ["EventStream"]

_ENCODER = json.JSONEncoder()


class EventStream:
    """Send numbered chunks and a final event that marks the answer as complete.

    The HTTP response starts with the first chunk, so that a request that fails
    earlier still gets the HTTP status of its refusal.
    """

    def __init__(self, http, request_id):
        self._http = http
        self._request_id = request_id
        self._count = 0
        self.response = web.StreamResponse(headers={REQUEST_HEADER: request_id})
        self.response.content_type = STREAM_TYPE

    @property
    def is_started(self):
        """Return whether the HTTP response has been started."""
        return self.response.prepared

    async def send_chunks(self, bodies):
        """Send chunks in one write; wait while the connection's buffer is full."""
        numbered = enumerate(bodies, self._count)
        self._count += len(bodies)
        await self._write("".join(itertools.starmap(_chunk_event, numbered)))

    async def close(self, outcome):
        """Send the final event: the number of chunks, or the refusal."""
        match outcome:
            case Ok(_):
                await self._write(_event("end", {"chunks": self._count}))
            case Err(refusal):
                fields = refusal_fields(self._request_id, refusal)
                await self._write(_event("error", fields))

    async def _write(self, events):
        if not self.response.prepared:
            await self.response.prepare(self._http)
        # Shielded, since aiohttp's wait for a slow caller fails for good once it has
        # been cancelled, and the final event still has to be sent.
        await asyncio.shield(self.response.write(events.encode()))


def _chunk_event(sequence, body):
    # Encoding is the expensive part of an event, and only the text needs it.
    text = _ENCODER.encode(body.decode())
    return f'event: chunk\ndata: {{"sequence": {sequence}, "text": {text}}}\n\n'


def _event(kind, data):
    return f"event: {kind}\ndata: {json.dumps(data)}\n\n"
