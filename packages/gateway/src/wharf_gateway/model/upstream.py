"""An upstream as listed in the platform's store."""

from dataclasses import dataclass

__all__ = ["Upstream"]


@dataclass(frozen=True, slots=True)
class Upstream:
    """A running server process of a service.

    `id` identifies the incarnation and changes with each start. Until `cold_until`, in
    seconds of the event loop's time, the service's cold rate applies. `slots` is the
    number of requests that run at a time, `started_ms` the start in milliseconds of
    Unix time.
    """

    id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    is_draining: bool
    started_ms: int
    cold_until: float = 0.0
