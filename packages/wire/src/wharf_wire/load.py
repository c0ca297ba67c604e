"""A sidecar's report of its upstream's state."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name, Seconds

__all__ = ["Load"]


@dataclass(frozen=True, slots=True)
class Load:
    """Report calls in flight, the limit, and whether the upstream is leaving.

    `service_time` is the recent mean in seconds.
    """

    in_flight: Count
    limit: Count
    service_time: Seconds
    leaving: bool
    version: Name
    revision: Count
    kind: Literal["load"] = "load"
