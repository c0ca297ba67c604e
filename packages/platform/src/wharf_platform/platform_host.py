"""A host in the platform's list of hosts."""

from typing import Literal

from pydantic import BaseModel, ConfigDict

__all__ = ["PlatformHost"]


class PlatformHost(BaseModel):
    """One host of the list, whose state may be out of date."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    address: str
    data_centre: str
    state: Literal["live", "leaving"]
