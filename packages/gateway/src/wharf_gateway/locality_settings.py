"""Settings of the choice between data centres."""

from pydantic import BaseModel, ConfigDict, Field

from wharf_gateway.setting_types import Seconds

__all__ = ["LocalitySettings"]


class LocalitySettings(BaseModel):
    """What it costs to send a request to another data centre.

    Callers accept to wait `crossing_seconds` instead of a crossing, and
    `megabyte_seconds` more for each megabyte of results that the request's engine reads
    from another data centre. At most `max_share` of a service's requests leave.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    crossing_seconds: Seconds = 0.01
    megabyte_seconds: Seconds = 0.01
    max_share: float = Field(default=0.5, ge=0, le=1)
