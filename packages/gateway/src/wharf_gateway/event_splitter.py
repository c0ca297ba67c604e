"""Cuts a stream of server-sent events at their ends."""

from dataclasses import dataclass, field

__all__ = ["EventSplitter"]


@dataclass(slots=True)
class EventSplitter:
    """Pass on whole events only, and remember the id of the last.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id, splitter.rest
    ('1', bytearray(b'id: 2\\nda'))
    """

    rest: bytearray = field(default_factory=bytearray)
    last_id: str | None = None

    def feed(self, data):
        """Return the events that are complete with `data`."""
        self.rest += data
        end = self.rest.rfind(b"\n\n")
        if end < 0:
            return b""
        whole = bytes(self.rest[: end + 2])
        del self.rest[: end + 2]
        for line in reversed(whole.split(b"\n")):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return whole

    def restart(self):
        """Forget a half of an event, when another source goes on."""
        self.rest.clear()
