"""Settings of one stage of a pipeline."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Stage"]


class Stage(BaseModel):
    """One step of a pipeline; a non-idempotent stage runs at most once."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=100)
    pool: str = Field(min_length=1, max_length=100)
    idempotent: bool = True
