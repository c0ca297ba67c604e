"""Settings of an entry."""

from pydantic import Field

from wharf_daemon.settings import Address, CommonSettings

__all__ = ["EntrySettings"]


class EntrySettings(CommonSettings):
    """Settings of an entry; `peers` are the sidecars that it connects to first.

    Sizes are in bytes. `max_loads` limits how many upstreams load a new version
    at a time. After a stop signal the entry reports not ready but accepts requests
    for another `drain_delay` seconds, so that the load balancer can notice.
    """

    peers: tuple[Address, ...] = ()
    max_body: int = Field(default=512 << 10, ge=1, le=1 << 20)
    max_answer: int = Field(default=8 << 20, ge=1, le=64 << 20)
    drain_delay: float = Field(default=3.0, ge=0, le=600)
    max_requests: int = Field(default=2000, ge=1)
    max_loads: int = Field(default=2, ge=1, le=1000)
