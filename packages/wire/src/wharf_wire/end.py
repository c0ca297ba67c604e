"""Final frame of a complete answer, from a sidecar to an entry."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name, Seconds

__all__ = ["End"]


@dataclass(frozen=True, slots=True)
class End:
    """End an answer of `count` parts; `service_time` is in seconds.

    `in_flight` and `limit` are the upstream's load after this attempt.
    """

    attempt: Name
    count: Count
    service_time: Seconds
    in_flight: Count = 0
    limit: Count = 0
    kind: Literal["end"] = "end"
