"""Settings common to both daemons."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Address", "CommonSettings"]

Address = str
ADDRESS_PATTERN = r"^[^:\s]+:\d{1,5}$"


class CommonSettings(BaseModel):
    """What every daemon is told about itself; addresses are HOST:PORT."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=200)
    data_centre: str = Field(min_length=1, max_length=100)
    listen: Address = Field(pattern=ADDRESS_PATTERN)
    operators_listen: Address = Field(pattern=ADDRESS_PATTERN)
    platform: str = Field(pattern=r"^http://\S+$")
    stop_grace: float = Field(default=60.0, gt=0, le=3600)
    seed: int | None = None
