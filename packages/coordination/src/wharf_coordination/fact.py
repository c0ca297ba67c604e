"""A statement that, once made, holds until it expires."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Fact", "FactKind"]


class FactKind(StrEnum):
    """What a fact is about."""

    VETO = "veto"
    CONDEMNED = "condemned"
    SUSPECT = "suspect"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True)
class Fact:
    """State what holds of `subject`, and why.

    The subject of a veto names a pool and a version, that of a condemnation is
    the fingerprint of a request. A suspicion, and what clears it, name the
    fingerprint of a stage's request and the death of an upstream.
    """

    kind: FactKind
    subject: str
    reason: str = ""

    @property
    def id(self):
        """Return what identifies the fact; the reason does not."""
        return self.kind, self.subject
