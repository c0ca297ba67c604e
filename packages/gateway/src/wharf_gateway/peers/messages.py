"""Messages between gateways."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from wharf_gateway.model.step import Step

__all__ = [
    "Abandon",
    "Free",
    "Greeting",
    "LoadNotice",
    "Message",
    "Prepare",
    "Prepared",
    "Refused",
    "TrialNotice",
    "TrialSample",
]


@dataclass(frozen=True, slots=True)
class Greeting:
    """The first message of each side: who it is."""

    name: str
    data_centre: str
    kind: Literal["greeting"] = "greeting"


@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask for the results of a request's steps; times are in seconds from now."""

    number: int
    pool: str
    call_id: str
    steps: tuple[Step, ...]
    pieces: tuple[int, ...]
    key: str
    priority: int
    on_time_seconds: float
    useful_seconds: float
    near: str
    kind: Literal["prepare"] = "prepare"


@dataclass(frozen=True, slots=True)
class Prepared:
    """Hand over the handles of the results."""

    number: int
    handles: tuple[str, ...]
    kind: Literal["prepared"] = "prepared"


@dataclass(frozen=True, slots=True)
class Refused:
    """Say why there are no results, and when there may be."""

    number: int
    reason: str
    retry_after: float
    kind: Literal["refused"] = "refused"


@dataclass(frozen=True, slots=True)
class Abandon:
    """Give up a preparation."""

    number: int
    kind: Literal["abandon"] = "abandon"


@dataclass(frozen=True, slots=True)
class Free:
    """Give up results."""

    pool: str
    handles: tuple[str, ...]
    kind: Literal["free"] = "free"


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Tell the backlog of the pools that the sender prepares for, in seconds.

    It is also the sign of life; a sender that isn't `ready` prepares for none.
    """

    ready: bool
    backlog_by_pool: dict[str, float]
    kind: Literal["load"] = "load"


@dataclass(frozen=True, slots=True)
class TrialNotice:
    """Tell the share of requests that a service's new version gets.

    `elapsed` is the time since its rollout was ordered, in seconds.
    """

    service: str
    target: str
    share: float
    elapsed: float
    kind: Literal["trial"] = "trial"


@dataclass(frozen=True, slots=True)
class TrialSample:
    """Tell the outcome of one attempt to who drives the service's rollout.

    `in_flight` was the upstream's load when it began, `seconds` the time up to the
    first part of the answer.
    """

    service: str
    version: str
    route: str
    in_flight: int
    failed: bool
    seconds: float
    kind: Literal["sample"] = "sample"


Message = TypeAdapter(
    Annotated[
        Greeting
        | Prepare
        | Prepared
        | Refused
        | Abandon
        | Free
        | LoadNotice
        | TrialNotice
        | TrialSample,
        Field(discriminator="kind"),
    ]
)
