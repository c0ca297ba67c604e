"""Settings of the duties that one gateway has for all."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from wharf_gateway.setting_types import Address

__all__ = ["DutySettings"]


class DutySettings(BaseModel):
    """Duties that one gateway has for all; `address` is the platform's, HOST:PORT.

    The platform accepts `calls_per_second` from all gateways. A lease lasts for
    `lease_ms`. The usage of a window of `usage_window_seconds` is due
    `usage_late_seconds` after its end; a warning is logged if more than the part
    `usage_tolerance` of it is uncertain.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: Address
    names: tuple[Literal["usage", "scale"], ...] = ("usage",)
    calls_per_second: float = Field(default=50, gt=0)
    lease_ms: float = Field(default=3000, ge=1500, le=3_600_000)
    usage_window_seconds: float = Field(default=5, ge=1, le=86_400)
    usage_tolerance: float = Field(default=0.05, ge=0, le=1)
    usage_late_seconds: float = Field(default=10, ge=2, le=86_400)

    @property
    def lease_seconds(self):
        """Return the duration of a lease, in seconds."""
        return self.lease_ms / 1000
