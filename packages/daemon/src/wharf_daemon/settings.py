"""Settings common to both daemons."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Address", "CommonSettings"]

Address = Annotated[str, Field(pattern=r"^[^:\s]+:\d{1,5}$")]
# Ids of requests and attempts contain this name and must fit into messages.
MAX_NAME_LENGTH = 64


class CommonSettings(BaseModel):
    """Settings of all daemons; addresses are HOST:PORT, times in seconds."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    data_centre: str = Field(min_length=1, max_length=100)
    listen: Address
    operators_listen: Address
    platform: str = Field(pattern=r"^http://\S+$")
    stop_grace: float = Field(default=60.0, gt=0, le=3600)
    seed: int | None = None
