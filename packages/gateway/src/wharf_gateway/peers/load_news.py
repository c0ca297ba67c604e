"""What gateways tell each other of upstreams' loads."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

__all__ = ["LoadNews", "MAX_NEWS", "ReportItem", "SendItem", "with_ages"]

MAX_NEWS = 256  # items of a kind in one message
MAX_NEWS_PARTS = 8
Age = Annotated[float, Field(ge=0, le=3600)]
Count = Annotated[int, Field(ge=0, le=1 << 30)]
Pace = Annotated[float, Field(gt=0, le=1000)]
UpstreamId = Annotated[str, Field(min_length=1, max_length=512)]
Origin = Annotated[int, Field(ge=0, lt=1 << 32)]
# Origin, upstream, age in seconds, prompt tokens, and the key and tokens of each part.
SendItem = tuple[
    Origin,
    UpstreamId,
    Age,
    Count,
    Annotated[tuple[tuple[Origin, Count], ...], Field(max_length=MAX_NEWS_PARTS)],
]
# Origin, upstream, age, running and waiting requests or None, pace of the host or None,
# and latency relative to the expected one or None.
ReportItem = tuple[
    Origin, UpstreamId, Age, Count | None, Count | None, Pace | None, Pace | None
]


@dataclass(frozen=True, slots=True)
class LoadNews:
    """Prompts that were sent and reports that were seen; ages are in seconds.

    With `is_digest` it comes from a gateway that hands on what others have told it.
    `Origin` is a hash of the name of the gateway that saw it first.
    """

    sends: Annotated[tuple[SendItem, ...], Field(max_length=MAX_NEWS)] = ()
    reports: Annotated[tuple[ReportItem, ...], Field(max_length=MAX_NEWS)] = ()
    is_digest: bool = False
    kind: Literal["load news"] = "load news"


def with_ages(items, now):
    """Return items as they are sent, with their age in place of their time.

    >>> with_ages([(7, "u", 10.0, 1, 0, None, None)], now=10.25)
    ((7, 'u', 0.25, 1, 0, None, None),)
    """
    return tuple(
        (origin, upstream, round(max(0.0, now - at), 3), *rest)
        for origin, upstream, at, *rest in items
    )
