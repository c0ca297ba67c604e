"""What an entry knows about one upstream when it chooses."""

from dataclasses import dataclass

__all__ = ["Candidate"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that could run a call now.

    `in_flight` estimates all entries' calls there, `limit` is the gate's as last
    reported, and `service_time` the reported mean in seconds.
    """

    upstream: str
    data_centre: str
    version: str
    in_flight: int
    limit: int
    service_time: float

    @property
    def has_capacity(self):
        """Return whether its gate would probably admit one more call."""
        return self.in_flight < self.limit
