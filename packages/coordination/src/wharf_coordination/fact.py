"""Immutable statement that is valid until it expires."""

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
    """A statement of `kind` about `subject`, with the reason for it.

    The subject of a veto names a pool, a version and a rollout; that of a
    condemnation is the fingerprint of a request. Suspicions and clearances name the
    fingerprint of a request at one stage and the death of an upstream.
    """

    kind: FactKind
    subject: str
    reason: str = ""

    @property
    def id(self):
        """Return the identity of the fact, which excludes the reason."""
        return self.kind, self.subject
