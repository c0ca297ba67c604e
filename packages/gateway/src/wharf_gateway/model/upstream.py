"""An upstream as listed in the platform's store."""

from dataclasses import dataclass

__all__ = ["Upstream"]


@dataclass(frozen=True, slots=True)
class Upstream:
    """A running server process of a service.

    `id` identifies the incarnation. It mostly changes with a start, but an upstream may
    restart under the same ID, which is why `started_ms`, the start in milliseconds of
    Unix time, is compared too. Until `cold_until`, in seconds of the event loop's time,
    the service's cold rate applies. `slots` is the number of requests that run at a
    time. `sequence` rises with each time that an incarnation writes its entry.
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
    sequence: int = 0

    def is_later_than(self, other):
        """Return whether this entry was written after `other` of the same ID."""
        return (self.started_ms, self.sequence) > (other.started_ms, other.sequence)

    def is_outdated_by(self, other):
        """Return whether `other` of the same ID is later, or says that it drains."""
        is_ready_again = other.is_draining and not self.is_draining
        return other.is_later_than(self) or (
            is_ready_again and not self.is_later_than(other)
        )
