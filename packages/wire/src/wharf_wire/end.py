"""The closing frame of an attempt's answer."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name, Seconds

__all__ = ["End"]


@dataclass(frozen=True, slots=True)
class End:
    """Close an answer of `count` chunks; `service_time` is in seconds."""

    attempt: Name
    count: Count
    service_time: Seconds
    kind: Literal["end"] = "end"
