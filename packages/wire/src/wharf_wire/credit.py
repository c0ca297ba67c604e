"""Flow-control credit, from an entry to a sidecar."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name

__all__ = ["Credit"]


@dataclass(frozen=True, slots=True)
class Credit:
    """Grant `cost` bytes of credit after chunks of that cost were consumed."""

    attempt: Name
    cost: Count
    kind: Literal["credit"] = "credit"
