"""Settings of one pool of interchangeable upstreams."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Pool"]


class Pool(BaseModel):
    """A pool of upstreams that run the same model or service.

    `version` is the version that serves all traffic while no rollout is running.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Literal["engine", "service"] = "engine"
    version: str = Field(default="1", min_length=1, max_length=100)
