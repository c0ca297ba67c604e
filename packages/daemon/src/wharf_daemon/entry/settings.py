"""Settings of an entry."""

from pydantic import Field

from wharf_daemon.settings import Address, CommonSettings

__all__ = ["EntrySettings"]


class EntrySettings(CommonSettings):
    """What an entry is told; `peers` are sidecars to ask before any configuration.

    Sizes are in bytes.
    """

    peers: tuple[Address, ...] = ()
    max_body: int = Field(default=512 << 10, ge=1, le=1 << 20)
    max_answer: int = Field(default=8 << 20, ge=1, le=64 << 20)
    max_requests: int = Field(default=2000, ge=1)
