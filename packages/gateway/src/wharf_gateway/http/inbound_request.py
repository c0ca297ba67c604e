"""A request received from a caller."""

import asyncio
from dataclasses import dataclass, field

from wharf_gateway.http.byte_account import ByteAccount
from wharf_gateway.http.headers import Headers

__all__ = ["InboundRequest"]


@dataclass(slots=True, eq=False)
class InboundRequest:
    """Head of a request, and its body as far as it has arrived.

    `received_at` is the event loop's time, in seconds, at the end of the head.
    `body_complete` is set once the body has arrived or is `too_large`; `is_read` is
    true once the whole request has been read from the connection; `is_recorded` once it
    counts as unanswered. `cost` are the bytes reserved for it in the connection's
    `account`. A request with `retry_after`, in seconds, was refused before its body was
    complete, so that it must not run.
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
    account: ByteAccount | None = None
    cost: int = 0
    retry_after: float | None = None

    def without_content(self):
        """Return a copy for the records of an answered request."""
        return InboundRequest(
            self.method,
            self.target,
            Headers(),
            self.received_at,
            self.keep_alive,
            is_read=self.is_read,
            is_recorded=self.is_recorded,
        )

    def refuse(self, retry_after):
        """Drop the body, and let the handler answer "not run"."""
        self.retry_after = retry_after
        self.body = bytearray()
        self.cost = 0
        self.body_complete.set()

    @property
    def expects_continue(self):
        """Return whether the sender waits to be asked for the body."""
        is_refused = self.too_large or self.retry_after is not None
        if self.is_read or is_refused or self.body:
            return False
        return "100-continue" in self.headers.tokens("expect")

    @property
    def path(self):
        """Return the path without the query."""
        return self.target.partition("?")[0]
