"""The usage of one window."""

from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass

__all__ = ["Count", "CustomerName", "UsageItem"]

Count = Annotated[int, Field(ge=0, le=1 << 53)]
CustomerName = Annotated[str, Field(max_length=512)]


@dataclass(frozen=True, slots=True)
class UsageItem:
    """Requests begun in a window, by customer.

    `uncertain` is the number of requests of which nobody knows whether they began.
    """

    window: int
    counts: dict[CustomerName, Count]
    uncertain: Count = 0
