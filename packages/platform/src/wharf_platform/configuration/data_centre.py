"""Settings of one data centre."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["DataCentre"]


class DataCentre(BaseModel):
    """A data centre; those of one `region` are close to each other."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    region: str = Field(default="default", min_length=1, max_length=100)
