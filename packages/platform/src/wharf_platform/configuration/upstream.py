"""Settings of one upstream."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Upstream"]


class Upstream(BaseModel):
    """One upstream server and the HOST:PORT of its sidecar.

    `cold_limit` bounds concurrent calls during warm-up, `max_limit` at any time.
    Warm-up lasts at least until `warm_calls` calls have ended.
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
