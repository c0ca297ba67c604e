"""An upstream as the platform's list shows it."""

from dataclasses import dataclass

__all__ = ["Upstream"]


@dataclass(frozen=True, slots=True)
class Upstream:
    """A running server of a service.

    `id` names the incarnation, `cold_until` is the loop's time in seconds until
    which it bears only the service's cold rate.
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
