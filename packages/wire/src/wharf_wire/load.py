"""Load report of an upstream, from a sidecar to an entry."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name, Seconds

__all__ = ["Load"]


@dataclass(frozen=True, slots=True)
class Load:
    """Report calls in flight, their limit and whether the upstream is leaving or cold.

    `service_time` is a moving average in seconds.
    """

    in_flight: Count
    limit: Count
    service_time: Seconds
    leaving: bool
    version: Name
    revision: Count
    cold: bool = False
    kind: Literal["load"] = "load"
