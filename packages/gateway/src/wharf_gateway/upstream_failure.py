"""An error response of an upstream."""

from dataclasses import dataclass

from wharf_coordination.code import Code
from wharf_gateway.http.headers import Headers

__all__ = ["UpstreamFailure"]


@dataclass(frozen=True, slots=True)
class UpstreamFailure:
    """An upstream's error response, forwarded unless a further attempt succeeds.

    The other fields are those of a `GatewayResponse`, for logs.
    """

    status: int
    headers: Headers
    body: bytes
    code: Code = Code.UPSTREAM_FAILED
    detail: str = "the upstream failed"
    feature: str | None = None
