"""The requests that may crash upstreams, and what is held against each."""

from collections import defaultdict
from dataclasses import dataclass, field

from wharf_coordination.death_kind import DeathKind
from wharf_coordination.fact import Fact, FactKind
from wharf_coordination.suspicion import Suspicion
from wharf_coordination.verdict import Verdict

__all__ = ["Suspects"]

CONDEMNING_DEATHS = 2
CONDEMNING_LOSSES = 3
MAX_SUSPECTS = 10_000


@dataclass(slots=True)
class Suspects:
    """Judge fingerprints by the deaths that they were in flight at.

    Suspicions and clearances arrive as facts, in any order and more than once;
    a clearance lifts the one suspicion that it names. Two deaths that nothing
    has cleared condemn. Losses of links alone, which may have another cause,
    need to be three. The oldest of `max_suspects` fingerprints is forgotten first.
    """

    max_suspects: int = MAX_SUSPECTS
    _expiry_by_suspicion: dict[str, dict[Suspicion, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _cleared: dict[Suspicion, float] = field(default_factory=dict)

    def observe(self, fact: Fact, now, lifetime):
        """Take in a fact that holds for `lifetime` more seconds."""
        match fact.kind:
            case FactKind.SUSPECT:
                self._suspect(Suspicion.from_fact(fact), now, lifetime)
            case FactKind.CLEARED:
                self._clear(Suspicion.from_fact(fact), now, lifetime)

    def verdict(self, fingerprint, now) -> Verdict:
        """Return what is held against `fingerprint`.

        >>> held = Suspects()
        >>> held.observe(Suspicion("f", "death-1").to_fact(), 0.0, 600.0)
        >>> held.verdict("f", now=1.0).value
        'suspect'
        >>> held.observe(Suspicion("f", "death-2").to_fact(), 1.0, 600.0)
        >>> held.verdict("f", now=2.0).value
        'condemned'
        """
        held = self.suspicions(fingerprint, now)
        if not held:
            return Verdict.CLEAR
        all_losses = all(suspicion.kind is DeathKind.LOSS for suspicion in held)
        bound = CONDEMNING_LOSSES if all_losses else CONDEMNING_DEATHS
        return Verdict.CONDEMNED if len(held) >= bound else Verdict.SUSPECT

    def suspicions(self, fingerprint, now) -> list[Suspicion]:
        """Return the suspicions of `fingerprint` that nothing has cleared."""
        expiries = self._expiry_by_suspicion.get(fingerprint, {})
        return [suspicion for suspicion, expiry in expiries.items() if now < expiry]

    def expire(self, now):
        """Forget what no longer holds."""
        for fingerprint, expiries in list(self._expiry_by_suspicion.items()):
            kept = {key: expiry for key, expiry in expiries.items() if now < expiry}
            if kept:
                self._expiry_by_suspicion[fingerprint] = kept
            else:
                del self._expiry_by_suspicion[fingerprint]
        self._cleared = {
            key: expiry for key, expiry in self._cleared.items() if now < expiry
        }

    def __len__(self):
        return len(self._expiry_by_suspicion)

    def _suspect(self, suspicion, now, lifetime):
        if suspicion not in self._cleared:
            held = self._expiry_by_suspicion[suspicion.fingerprint]
            held[suspicion] = now + lifetime
        if len(self._expiry_by_suspicion) > self.max_suspects:
            self.expire(now)
        if len(self._expiry_by_suspicion) > self.max_suspects:
            del self._expiry_by_suspicion[next(iter(self._expiry_by_suspicion))]

    def _clear(self, suspicion, now, lifetime):
        self._cleared[suspicion] = now + lifetime
        if len(self._cleared) > self.max_suspects:
            del self._cleared[next(iter(self._cleared))]
        held = self._expiry_by_suspicion.get(suspicion.fingerprint, {})
        held.pop(suspicion, None)
        if not held:
            self._expiry_by_suspicion.pop(suspicion.fingerprint, None)
