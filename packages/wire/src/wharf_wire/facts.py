"""Facts that one process hands to another."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from wharf_coordination import Fact, FactKind
from wharf_wire.fields import DetailText, Name, Seconds
from wharf_wire.limits import MAX_FACTS_PER_FRAME

__all__ = ["FactItem", "Facts"]


@dataclass(frozen=True, slots=True)
class FactItem:
    """One fact and the seconds for which it still holds."""

    fact_kind: FactKind
    subject: Name
    reason: DetailText
    remaining: Seconds

    @classmethod
    def from_fact(cls, fact, remaining):
        """Return the item that carries `fact`."""
        return cls(fact.kind, fact.subject, fact.reason, remaining)

    def to_fact(self):
        """Return the fact that this item carries."""
        return Fact(self.fact_kind, self.subject, self.reason)


@dataclass(frozen=True, slots=True)
class Facts:
    """Carry facts that the receiver may not hold yet."""

    items: Annotated[tuple[FactItem, ...], Field(max_length=MAX_FACTS_PER_FRAME)]
    kind: Literal["facts"] = "facts"
