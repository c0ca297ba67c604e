"""Result of an order, from a sidecar to an entry."""

from typing import Literal

from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from wharf_coordination import Code, Ran, Refusal
from wharf_wire.fields import MAX_DETAIL_LENGTH, DetailText, Name

__all__ = ["OrderResult"]


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Report the success or refusal of an order."""

    id: Name
    code: Code
    ran: Ran = Ran.UNKNOWN
    detail: DetailText = ""
    kind: Literal["order_result"] = "order_result"

    @classmethod
    def from_result(cls, id, result: Result[None, Refusal]):
        """Return the message that carries `result`."""
        match result:
            case Ok(_):
                return cls(id, Code.OK)
            case Err(refusal):
                detail = refusal.detail[:MAX_DETAIL_LENGTH]
                return cls(id, refusal.code, refusal.ran, detail)

    def to_result(self) -> Result[None, Refusal]:
        """Return the result that this message carries."""
        if self.code is Code.OK:
            return Ok(None)
        return Err(Refusal(self.code, self.ran, self.detail))
