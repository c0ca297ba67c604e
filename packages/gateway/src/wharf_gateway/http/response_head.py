"""Status and header fields of a response."""

from dataclasses import dataclass

from wharf_gateway.http.headers import Headers

__all__ = ["ResponseHead"]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """What an upstream said before the body."""

    status: int
    headers: Headers
