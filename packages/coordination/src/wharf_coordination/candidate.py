"""What an entry knows about one upstream when it balances load."""

from dataclasses import dataclass

__all__ = ["Candidate"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that could run a call now.

    `in_flight` estimates the upstream's calls from all entries, `limit` is its last
    reported concurrency limit, and `service_time` the reported mean in seconds. A
    cold upstream has started lately and is slow for that reason.
    """

    upstream: str
    data_centre: str
    version: str
    in_flight: int
    limit: int
    service_time: float
    is_cold: bool = False

    @property
    def has_capacity(self):
        """Return whether the upstream would probably admit one more call."""
        return self.in_flight < self.limit
