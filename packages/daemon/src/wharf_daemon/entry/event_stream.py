"""An answer on its way to a caller as a stream of events."""

import itertools
import json

from aiohttp import web
from result import Err, Ok

from wharf_daemon.entry.refusal_response import REQUEST_HEADER, refusal_fields
from wharf_daemon.entry.request_reader import STREAM_TYPE

__all__ = ["EventStream"]

_ENCODER = json.JSONEncoder()


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

    async def send_chunks(self, bodies):
        """Send chunks in one write; wait while the caller reads too slowly."""
        numbered = enumerate(bodies, self._count)
        self._count += len(bodies)
        await self._write("".join(itertools.starmap(_chunk_event, numbered)))

    async def close(self, outcome):
        """Send the closing event: the count of the chunks, or the refusal."""
        match outcome:
            case Ok(_):
                await self._write(_event("end", {"chunks": self._count}))
            case Err(refusal):
                fields = refusal_fields(self._request_id, refusal)
                await self._write(_event("error", fields))

    async def _write(self, events):
        if not self.response.prepared:
            await self.response.prepare(self._http)
        await self.response.write(events.encode())


def _chunk_event(sequence, body):
    # Only the text needs the encoder, which is the dear part of an event.
    text = _ENCODER.encode(body.decode())
    return f'event: chunk\ndata: {{"sequence": {sequence}, "text": {text}}}\n\n'


def _event(kind, data):
    return f"event: {kind}\ndata: {json.dumps(data)}\n\n"
