"""A host as the platform's lagging list shows it."""

from typing import Literal

from pydantic import BaseModel, ConfigDict

__all__ = ["PlatformHost"]


class PlatformHost(BaseModel):
    """One host of the list; the list lags behind what is true."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    address: str
    data_centre: str
    state: Literal["live", "leaving"]
