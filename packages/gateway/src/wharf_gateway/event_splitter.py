"""Splits a stream of server-sent events at event boundaries."""

from dataclasses import dataclass, field

__all__ = ["EventSplitter"]


@dataclass(slots=True)
class EventSplitter:
    """Buffer incomplete events, and keep the id of the last complete one.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.buffer
    ('1', bytearray(b'id: 2\\nda'))
    """

    buffer: bytearray = field(default_factory=bytearray)
    last_id: str | None = None

    def feed(self, data):
        """Return the bytes of the events that are complete with `data`."""
        self.buffer += data
        end = self.buffer.rfind(b"\n\n")
        if end < 0:
            return b""
        complete = bytes(self.buffer[: end + 2])
        del self.buffer[: end + 2]
        for line in reversed(complete.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return complete

    def discard_partial(self):
        """Discard an incomplete event, before another upstream resumes the stream."""
        self.buffer.clear()
