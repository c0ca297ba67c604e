"""Suspicion that a request made an upstream crash."""

from dataclasses import dataclass

from wharf_coordination.death_kind import DeathKind
from wharf_coordination.fact import Fact, FactKind

__all__ = ["SUSPICION_LIFETIME_SECONDS", "Suspicion"]

SUSPICION_LIFETIME_SECONDS = 600.0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A request, by fingerprint, that was in flight when an upstream died.

    All observers of a death use the same name for it, so that it counts once.
    """

    fingerprint: str
    death: str
    kind: DeathKind = DeathKind.CRASH

    @classmethod
    def from_fact(cls, fact):
        """Return the suspicion that `fact` states or clears.

        >>> raised = Suspicion("f", "d", DeathKind.LOSS)
        >>> Suspicion.from_fact(raised.to_fact()) == raised
        True
        """
        fingerprint, _, death = fact.subject.partition(":")
        is_loss = fact.reason == DeathKind.LOSS
        return cls(fingerprint, death, DeathKind.LOSS if is_loss else DeathKind.CRASH)

    def to_fact(self):
        """Return the fact that raises this suspicion."""
        return Fact(FactKind.SUSPECT, self._subject, self.kind)

    def to_clearance(self):
        """Return the fact that clears this suspicion."""
        return Fact(FactKind.CLEARED, self._subject, self.kind)

    @property
    def _subject(self):
        return f"{self.fingerprint}:{self.death}"
