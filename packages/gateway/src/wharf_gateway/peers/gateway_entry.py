"""What a gateway tells the store of itself."""

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

__all__ = ["GatewayEntries", "GatewayEntry"]


@dataclass(frozen=True, slots=True)
class GatewayEntry:
    """Where its peers reach it, and how much it can prepare.

    `capacity` is in processor cores of usual speed.
    """

    address: str
    data_centre: str
    capacity: float = Field(default=1.0, ge=0)


GatewayEntries = TypeAdapter(GatewayEntry)
