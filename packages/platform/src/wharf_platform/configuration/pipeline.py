"""Settings of one pipeline."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from wharf_platform.configuration.stage import Stage

__all__ = ["Pipeline"]


class Pipeline(BaseModel):
    """A sequence of stages, with the default priority and deadline of requests.

    Deadlines are in seconds.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    stages: tuple[Stage, ...] = Field(min_length=1, max_length=16)
    priority: Literal["urgent", "interactive", "standard", "patient"] = "standard"
    default_deadline: float = Field(default=7.0, gt=0, le=3600)
    max_deadline: float = Field(default=60.0, gt=0, le=3600)
