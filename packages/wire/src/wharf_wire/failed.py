"""Final frame of a failed attempt, from a sidecar to an entry."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_coordination import Code, Ran, Refusal
from wharf_wire.fields import MAX_DETAIL_LENGTH, DetailText, Name

__all__ = ["Failed"]


@dataclass(frozen=True, slots=True)
class Failed:
    """Report why an attempt failed and whether it may have run."""

    attempt: Name
    code: Code
    ran: Ran
    detail: DetailText = ""
    kind: Literal["failed"] = "failed"

    @classmethod
    def from_refusal(cls, attempt, refusal):
        """Return the message that carries `refusal`."""
        return cls(
            attempt, refusal.code, refusal.ran, refusal.detail[:MAX_DETAIL_LENGTH]
        )

    def to_refusal(self):
        """Return the refusal that this message carries."""
        return Refusal(self.code, self.ran, self.detail)
