"""Settings of one upstream."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Upstream"]


class Upstream(BaseModel):
    """One back end and the address of the sidecar beside it.

    `cold_limit` bounds concurrent calls while it warms up, `max_limit` at any
    time. It is never taken for warm before it has ended `warm_calls` calls.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    pool: str = Field(min_length=1, max_length=100)
    data_centre: str = Field(min_length=1, max_length=100)
    address: str = Field(pattern=r"^[^:\s]+:\d{1,5}$")
    version: str | None = Field(default=None, min_length=1, max_length=100)
    cold_limit: int = Field(default=2, ge=1, le=10_000)
    max_limit: int = Field(default=64, ge=1, le=10_000)
    warm_calls: int = Field(default=20, ge=1, le=10_000)
    checks_fencing: bool = False
