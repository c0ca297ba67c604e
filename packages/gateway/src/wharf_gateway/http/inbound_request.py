"""A request received from a caller."""

import asyncio
from dataclasses import dataclass, field

from wharf_gateway.http.headers import Headers

__all__ = ["InboundRequest"]


@dataclass(slots=True, eq=False)
class InboundRequest:
    """Head of a request, and its body as far as it has arrived.

    `received_at` is the event loop's time, in seconds, at the end of the head.
    `body_complete` is set once the body has arrived or is `too_large`; `is_read` is
    true once the whole request has been read from the connection; `is_recorded` once it
    counts as unanswered.
    """

    method: str
    target: str
    headers: Headers
    received_at: float
    keep_alive: bool = True
    body: bytearray = field(default_factory=bytearray)
    body_complete: asyncio.Event = field(default_factory=asyncio.Event)
    too_large: bool = False
    is_read: bool = False
    is_recorded: bool = False

    @property
    def expects_continue(self):
        """Return whether the sender waits to be asked for the body."""
        if self.is_read or self.too_large or self.body:
            return False
        return "100-continue" in self.headers.tokens("expect")

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition("?")[0]
