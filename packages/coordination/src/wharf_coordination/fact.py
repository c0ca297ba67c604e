"""A statement that, once made, holds until it expires."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Fact", "FactKind"]


class FactKind(StrEnum):
    """What a fact is about."""

    VETO = "veto"
    CONDEMNED = "condemned"


@dataclass(frozen=True, slots=True)
class Fact:
    """State that `subject` is vetoed or condemned, and why.

    The subject of a veto names a pool and a version, that of a condemnation is
    the fingerprint of a request.
    """

    kind: FactKind
    subject: str
    reason: str = ""

    @property
    def id(self):
        """Return what identifies the fact; the reason does not."""
        return self.kind, self.subject
