"""A gateway's entry in the platform's store."""

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

__all__ = ["GatewayEntries", "GatewayEntry"]


@dataclass(frozen=True, slots=True)
class GatewayEntry:
    """Address (`host:port`), data centre and capacity of a gateway.

    `capacity` is the processing power for preparations, in cores of usual speed.
    """

    address: str
    data_centre: str
    capacity: float = Field(default=1.0, ge=0, allow_inf_nan=False)


GatewayEntries = TypeAdapter(GatewayEntry)
