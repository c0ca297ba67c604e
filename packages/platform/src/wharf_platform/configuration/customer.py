"""Settings of one customer."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Customer"]


class Customer(BaseModel):
    """A customer; `weight` is its relative share of capacity under contention."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    weight: float = Field(default=1.0, gt=0, le=1000, allow_inf_nan=False)
