"""The lease of a duty as it is kept in the platform's store."""

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from wharf_coordination.duties import DutyRecord
from wharf_gateway.duties.usage_decision import UsageDecision
from wharf_gateway.duties.usage_item import Count

__all__ = ["DutyDocument", "DutyDocuments"]


@dataclass(frozen=True, slots=True)
class DutyDocument:
    """A `DutyRecord`, validated as it is read."""

    holder: str
    incarnation: str
    token: Count
    number: Count
    decision: UsageDecision = Field(default_factory=UsageDecision)

    def to_record(self):
        """Return the record."""
        return DutyRecord(
            self.holder, self.incarnation, self.token, self.number, self.decision
        )


DutyDocuments = TypeAdapter(DutyDocument)
