"""Settings of one data centre."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["DataCentre"]


class DataCentre(BaseModel):
    """A data centre that holds hosts; `region` groups near ones."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    region: str = Field(default="default", min_length=1, max_length=100)
