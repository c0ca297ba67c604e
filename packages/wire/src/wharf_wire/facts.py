"""Facts, from one process to another."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from wharf_coordination import Fact, FactKind
from wharf_wire.fields import DetailText, Name, Seconds
from wharf_wire.limits import MAX_FACTS_PER_FRAME

__all__ = ["FactItem", "Facts"]


@dataclass(frozen=True, slots=True)
class FactItem:
    """A fact and its remaining lifetime in seconds."""

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
    """Carry facts that may be new to the receiver."""

    items: Annotated[tuple[FactItem, ...], Field(max_length=MAX_FACTS_PER_FRAME)]
    kind: Literal["facts"] = "facts"
