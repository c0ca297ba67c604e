"""What the holder of the usage duty has decided, as it is stored."""

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from wharf_gateway.duties.usage_item import Count, CustomerName

__all__ = ["UsageDecision", "UsageDecisions"]


@dataclass(frozen=True, slots=True)
class UsageDecision:
    """The windows decided so far, and the state of the open ones.

    All windows up to `through` are decided. `counts_by_window` has those that may still
    have to be reported. `open_by_window` has the totals of windows that aren't decided,
    which include those of the processes `sources`. It was written in this `era` of the
    store.
    """

    through: int | None = None
    counts_by_window: dict[int, dict[CustomerName, Count]] = Field(default_factory=dict)
    open_by_window: dict[int, dict[CustomerName, Count]] = Field(default_factory=dict)
    sources: tuple[str, ...] = ()
    era: int | None = None


UsageDecisions = TypeAdapter(UsageDecision)
