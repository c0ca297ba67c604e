"""Detection of requests that crash the upstreams that run them."""

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
    """Classify requests, by fingerprint, by the upstreams that died running them.

    Suspicions and clearances arrive as facts, in any order and possibly repeated; a
    clearance cancels the one suspicion that it names. Two suspicions that are not
    cleared condemn a request. If all of them are lost links, which may have another
    cause, it takes three. At most `max_suspects` fingerprints are kept; the oldest
    is evicted first.
    """

    max_suspects: int = MAX_SUSPECTS
    _expiry_by_suspicion: dict[str, dict[Suspicion, float]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _expiry_by_cleared: dict[Suspicion, float] = field(default_factory=dict)

    def observe(self, fact: Fact, now, lifetime):
        """Apply a fact that is valid for another `lifetime` seconds."""
        match fact.kind:
            case FactKind.SUSPECT:
                self._suspect(Suspicion.from_fact(fact), now, lifetime)
            case FactKind.CLEARED:
                self._clear(Suspicion.from_fact(fact), now, lifetime)

    def verdict(self, fingerprint, now) -> Verdict:
        """Return the verdict on `fingerprint`.

        >>> suspects = Suspects()
        >>> suspects.observe(Suspicion("f", "death-1").to_fact(), 0.0, 600.0)
        >>> suspects.verdict("f", now=1.0).value
        'suspect'
        >>> suspects.observe(Suspicion("f", "death-2").to_fact(), 1.0, 600.0)
        >>> suspects.verdict("f", now=2.0).value
        'condemned'
        """
        active = self.suspicions(fingerprint, now)
        if not active:
            return Verdict.CLEAR
        all_losses = all(suspicion.kind is DeathKind.LOSS for suspicion in active)
        bound = CONDEMNING_LOSSES if all_losses else CONDEMNING_DEATHS
        return Verdict.CONDEMNED if len(active) >= bound else Verdict.SUSPECT

    def suspicions(self, fingerprint, now) -> list[Suspicion]:
        """Return the suspicions of `fingerprint`, without cleared and expired ones."""
        expiries = self._expiry_by_suspicion.get(fingerprint, {})
        return [suspicion for suspicion, expiry in expiries.items() if now < expiry]

    def expire(self, now):
        """Drop expired suspicions and clearances."""
        for fingerprint, expiries in list(self._expiry_by_suspicion.items()):
            kept = {key: expiry for key, expiry in expiries.items() if now < expiry}
            if kept:
                self._expiry_by_suspicion[fingerprint] = kept
            else:
                del self._expiry_by_suspicion[fingerprint]
        self._expiry_by_cleared = {
            key: expiry
            for key, expiry in self._expiry_by_cleared.items()
            if now < expiry
        }

    def __len__(self):
        return len(self._expiry_by_suspicion)

    def _suspect(self, suspicion, now, lifetime):
        if suspicion not in self._expiry_by_cleared:
            active = self._expiry_by_suspicion[suspicion.fingerprint]
            active[suspicion] = now + lifetime
        if len(self._expiry_by_suspicion) > self.max_suspects:
            self.expire(now)
        if len(self._expiry_by_suspicion) > self.max_suspects:
            del self._expiry_by_suspicion[next(iter(self._expiry_by_suspicion))]

    def _clear(self, suspicion, now, lifetime):
        self._expiry_by_cleared[suspicion] = now + lifetime
        if len(self._expiry_by_cleared) > self.max_suspects:
            del self._expiry_by_cleared[next(iter(self._expiry_by_cleared))]
        active = self._expiry_by_suspicion.get(suspicion.fingerprint, {})
        active.pop(suspicion, None)
        if not active:
            self._expiry_by_suspicion.pop(suspicion.fingerprint, None)
