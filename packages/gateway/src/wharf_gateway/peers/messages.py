"""Messages between gateways.

A preparation runs the steps that a request needs before its engine can run it; the
gateway that runs them is called the preparer. Preparations are numbered by the gateway
that requests them. All times are relative to the sending of the message, in seconds.
"""

from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from wharf_coordination.quarantine import LONGEST_SECONDS, CrashSuspect
from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.duties.usage_item import UsageItem
from wharf_gateway.model.step import Step
from wharf_gateway.peers.load_news import LoadNews

__all__ = [
    "Abandon",
    "AnsweredNotice",
    "ConfigurationNotice",
    "ConfigurationPart",
    "ConfigurationRequest",
    "CrashNotice",
    "DutyNotice",
    "Free",
    "Greeting",
    "LeaseNotice",
    "LimitItem",
    "LimitNotice",
    "LoadNotice",
    "MAX_OUTCOMES",
    "MAX_PARTS",
    "MAX_PART_BYTES",
    "MAX_SUSPECTS",
    "MAX_WINDOWS",
    "Message",
    "OutcomeItem",
    "OutcomeNotice",
    "Prepare",
    "Prepared",
    "QuarantineItem",
    "QuarantineNotice",
    "Refused",
    "ShareNotice",
    "RolloutSample",
    "StoreNews",
]

MAX_SUSPECTS = 64
MAX_OUTCOMES = 64
MAX_WINDOWS = 32
# The store's objects have a megabyte at most, frames twice the size of a part.
MAX_PART_BYTES = 1 << 17
MAX_PARTS = 32
MAX_AGE_SECONDS = 86_400.0
Age = Annotated[float, Field(ge=0, le=MAX_AGE_SECONDS)]
Name = Annotated[str, Field(min_length=1, max_length=512)]
Era = Annotated[int, Field(ge=0)] | None


@dataclass(frozen=True, slots=True)
class Greeting:
    """Identify the sender; the first message in each direction."""

    name: str
    data_centre: str
    kind: Literal["greeting"] = "greeting"


@dataclass(frozen=True, slots=True)
class Prepare:
    """Request the results of a request's steps.

    `number` identifies the preparation on this link, `pieces` has the number of pieces
    of each step, and `key` identifies the source of the first steps. Results are on
    time within `on_time_seconds` and useless after `useful_seconds`. `near` is the data
    centre of the request's engine, where results are preferred.
    """

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
    """Return the handles of the results of a preparation."""

    number: int
    handles: tuple[str, ...]
    kind: Literal["prepared"] = "prepared"


@dataclass(frozen=True, slots=True)
class Refused:
    """Report why a preparation failed, and the seconds after which to retry."""

    number: int
    reason: str
    retry_after: float
    kind: Literal["refused"] = "refused"


@dataclass(frozen=True, slots=True)
class Abandon:
    """Cancel a preparation."""

    number: int
    kind: Literal["abandon"] = "abandon"


@dataclass(frozen=True, slots=True)
class Free:
    """Release results that are no longer needed."""

    pool: str
    handles: tuple[str, ...]
    kind: Literal["free"] = "free"


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Report the sender's backlog in seconds for each pool whose preparer it is.

    The message also serves as a heartbeat. A sender that is not `ready` accepts no
    preparations. It sends the next notice well within `valid_seconds`. If it watches
    the store for others, it has handed on all changes up to `revision_by_kind`. If it
    only asks for the store's revision for others, in a small fleet, these are where the
    kinds have changed last. They are of `store_era`, the newest era that the store has
    named to it. It takes `LoadNews` if it `knows_loads`; the field is left out
    otherwise.
    """

    ready: bool
    backlog_by_pool: dict[str, float]
    valid_seconds: float = 0.5
    revision_by_kind: dict[str, int] = Field(default_factory=dict)
    store_era: Era = None
    knows_loads: Annotated[bool, Field(exclude_if=lambda value: not value)] = False
    kind: Literal["load"] = "load"


@dataclass(frozen=True, slots=True)
class ShareNotice:
    """Set the share of requests, 0 to 1, that go to a service's new version.

    `target` is that version, `elapsed` the seconds since its rollout was ordered.
    """

    service: str
    target: str
    share: float
    elapsed: float
    kind: Literal["trial"] = "trial"


@dataclass(frozen=True, slots=True)
class RolloutSample:
    """Report the outcome of one attempt to the gateway that drives the rollout.

    `in_flight` was the number of calls at the upstream when the attempt began,
    `seconds` the time up to the first part of the response. The upstream was `cold` if
    it had started lately.
    """

    service: str
    version: str
    route: str
    in_flight: int
    failed: bool
    seconds: float
    cold: bool = False
    kind: Literal["sample"] = "sample"


@dataclass(frozen=True, slots=True)
class StoreNews:
    """Hand on the changes of a kind of objects between two revisions of a store's era.

    Each change has the object's name, revision, spec and status, and whether it is
    deleted.
    """

    store_kind: str
    since: int
    revision: int
    changes: tuple[tuple[str, int, Any, Any, bool], ...]
    era: Era = None
    kind: Literal["news"] = "news"


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """Report the sender's requests that had no whole answer as an upstream crashed.

    `upstream` names the crashed process, not only its host.
    """

    upstream: str
    seconds_ago: Age
    suspects: tuple[CrashSuspect, ...] = Field(max_length=MAX_SUSPECTS)
    kind: Literal["crash"] = "crash"


@dataclass(frozen=True, slots=True)
class QuarantineItem:
    """A feature whose requests may not run; times are relative to the message.

    `seconds_left` is negative on probation, `seconds` the quarantine's whole length.
    """

    feature: str
    crashes: Annotated[int, Field(ge=1)]
    first_seconds_ago: Age
    seconds_left: Annotated[float, Field(ge=-MAX_AGE_SECONDS, le=LONGEST_SECONDS)]
    seconds: Annotated[float, Field(gt=0, le=LONGEST_SECONDS)]


@dataclass(frozen=True, slots=True)
class QuarantineNotice:
    """Tell all features in quarantine or on probation that the sender knows."""

    items: tuple[QuarantineItem, ...]
    kind: Literal["quarantine"] = "quarantine"


@dataclass(frozen=True, slots=True)
class AnsweredNotice:
    """Tell that a request with a feature was answered, against its quarantine.

    `is_whole` says that the answer came whole and that its upstream survived it.
    """

    feature: str
    seconds_ago: Age
    is_whole: bool = False
    kind: Literal["answered"] = "answered"


@dataclass(frozen=True, slots=True)
class LimitItem:
    """Requests a second that an upstream takes, or None if it names no limit any more.

    `seconds_ago` is the age of the answer that said so.
    """

    upstream: str
    started_ms: int
    rate: Annotated[float, Field(ge=0, allow_inf_nan=False)] | None
    seconds_ago: Age


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Tell limits that upstreams have named, or their ends."""

    items: tuple[LimitItem, ...]
    kind: Literal["limit"] = "limit"


@dataclass(frozen=True, slots=True)
class OutcomeItem:
    """An order of a rollout that has ended, and its outcome.

    The store showed the outcome at `revision` of its `era`. Without an era, as earlier
    versions send it, the item isn't applied.
    """

    name: Name
    service: Name
    target: Name
    duration: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    outcome: Literal[RolloutOutcome.FINISHED, RolloutOutcome.TAKEN_BACK]
    era: Era = None
    revision: Annotated[int, Field(ge=0)] = 0


@dataclass(frozen=True, slots=True)
class OutcomeNotice:
    """Tell outcomes of rollouts that the store lost and doesn't yet show again."""

    items: tuple[OutcomeItem, ...] = Field(max_length=MAX_OUTCOMES)
    kind: Literal["outcomes"] = "outcomes"


@dataclass(frozen=True, slots=True)
class ConfigurationNotice:
    """Tell the version of the sender's configuration."""

    version: int
    kind: Literal["configuration"] = "configuration"


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for a configuration of this version or a newer one."""

    version: int
    kind: Literal["configuration request"] = "configuration request"


@dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """One of `count` parts of a configuration, as JSON; `name` is its object's."""

    name: Name
    index: Annotated[int, Field(ge=0, lt=MAX_PARTS)]
    count: Annotated[int, Field(ge=1, le=MAX_PARTS)]
    data: Annotated[bytes, Field(max_length=MAX_PART_BYTES)]
    kind: Literal["configuration part"] = "configuration part"


@dataclass(frozen=True, slots=True)
class DutyNotice:
    """Tell the sender's time of day, and its running totals of usage.

    The totals are those of its process `incarnation`, which has closed all windows up
    to `closed`.
    """

    incarnation: Name
    unix_seconds: Annotated[float, Field(ge=0, allow_inf_nan=False)]
    closed: int | None = None
    items: tuple[UsageItem, ...] = Field(default=(), max_length=MAX_WINDOWS)
    kind: Literal["duty"] = "duty"


@dataclass(frozen=True, slots=True)
class LeaseNotice:
    """Tell who holds a duty by a write that the store has acknowledged.

    The record is at `revision` of the store's `era`; without a revision the sender only
    tells what it knows of decisions. An empty `holder` has released the duty. All
    windows up to `through` are decided, the latest ones as in `decided`.
    """

    duty: Name
    holder: Annotated[str, Field(max_length=512)]
    token: Annotated[int, Field(ge=0)]
    era: Era = None
    revision: Annotated[int, Field(ge=0)] | None = None
    through: int | None = None
    decided: tuple[UsageItem, ...] = Field(default=(), max_length=MAX_WINDOWS)
    kind: Literal["lease"] = "lease"


Message = TypeAdapter(
    Annotated[
        Greeting
        | Prepare
        | Prepared
        | Refused
        | Abandon
        | Free
        | LoadNotice
        | ShareNotice
        | RolloutSample
        | StoreNews
        | CrashNotice
        | DutyNotice
        | LeaseNotice
        | QuarantineNotice
        | AnsweredNotice
        | LimitNotice
        | OutcomeNotice
        | ConfigurationNotice
        | ConfigurationRequest
        | ConfigurationPart
        | LoadNews,
        Field(discriminator="kind"),
    ]
)
