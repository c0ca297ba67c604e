"""What an entry knows about one upstream when it chooses."""

from dataclasses import dataclass

__all__ = ["Candidate"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that could run a call now."""

    upstream: str
    data_centre: str
    version: str
    in_flight: int
    limit: int
    service_time: float
