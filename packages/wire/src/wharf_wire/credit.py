"""The entry's permission to send more of an attempt's answer."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name

__all__ = ["Credit"]


@dataclass(frozen=True, slots=True)
class Credit:
    """Say that chunks with a cost of `cost` bytes were consumed."""

    attempt: Name
    cost: Count
    kind: Literal["credit"] = "credit"
