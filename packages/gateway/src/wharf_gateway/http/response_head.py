"""Status and header fields of a response."""

from dataclasses import dataclass

from wharf_gateway.http.headers import Headers

__all__ = ["ResponseHead"]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header fields that precede the body of a response."""

    status: int
    headers: Headers
