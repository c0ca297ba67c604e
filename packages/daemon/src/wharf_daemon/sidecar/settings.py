"""Settings of a sidecar."""

from typing import Literal

from pydantic import Field

from wharf_daemon.settings import CommonSettings

__all__ = ["SidecarSettings"]


class SidecarSettings(CommonSettings):
    """Settings of a sidecar; `upstream` is its upstream's configured name.

    Tokens of an answer that arrive within `gather_seconds` share one frame.
    """

    upstream: str = Field(min_length=1, max_length=200)
    upstream_url: str = Field(pattern=r"^http://\S+$")
    upstream_kind: Literal["engine", "service"] = "engine"
    cold_limit: int = Field(default=2, ge=1, le=10_000)
    max_limit: int = Field(default=64, ge=1, le=10_000)
    load_interval: float = Field(default=0.25, gt=0, le=60)
    gather_seconds: float = Field(default=0.025, ge=0, le=1)
