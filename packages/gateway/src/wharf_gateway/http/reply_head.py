"""Status and header fields of a response."""

from dataclasses import dataclass

from wharf_gateway.http.headers import Headers

__all__ = ["ReplyHead"]


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """What an upstream said before the body."""

    status: int
    headers: Headers
