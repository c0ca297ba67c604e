"""A failure of an upstream's own."""

from dataclasses import dataclass

from wharf_coordination.code import Code
from wharf_gateway.http.headers import Headers

__all__ = ["PassedFailure"]


@dataclass(frozen=True, slots=True)
class PassedFailure:
    """What an upstream answered, passed on unless another attempt does better."""

    status: int
    headers: Headers
    body: bytes
    code: Code = Code.UPSTREAM_FAILED
    detail: str = "the upstream failed"
