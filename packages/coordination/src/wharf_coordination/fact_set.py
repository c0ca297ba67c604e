"""Grow-only set of facts with expiry."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from wharf_coordination.fact import Fact, FactKind

__all__ = ["FactSet"]

LIFETIME_SECONDS = 24 * 3600.0
MAX_FACTS = 10_000


@dataclass(slots=True)
class FactSet:
    """Accumulate facts; adding is idempotent and commutative.

    Merging needs no consensus, so facts may arrive by any route. `max_facts` limits
    the facts of each kind, the oldest being evicted first, so that many facts of one
    kind can't evict those of another.
    """

    lifetime: float = LIFETIME_SECONDS
    max_facts: int = MAX_FACTS
    _fact_by_id: dict[tuple[FactKind, str], Fact] = field(default_factory=dict)
    _expiry_by_id: dict[tuple[FactKind, str], float] = field(default_factory=dict)
    _count_by_kind: Counter[FactKind] = field(default_factory=Counter)
    _next_expiry: float = math.inf

    def add(self, facts: Iterable[Fact], now, lifetime=None) -> list[Fact]:
        """Add facts for `lifetime` seconds; return those that were new.

        >>> facts = FactSet()
        >>> veto = Fact(FactKind.VETO, "model@2", "errors")
        >>> facts.add([veto], now=0.0) == [veto], facts.add([veto], now=1.0)
        (True, [])
        """
        self._expire(now)
        new_facts = [fact for fact in facts if fact.id not in self._fact_by_id]
        for fact in new_facts:
            self._insert(fact, now + (lifetime or self.lifetime))
            if self._count_by_kind[fact.kind] > self.max_facts:
                self._remove(next(id for id in self._fact_by_id if id[0] == fact.kind))
        return new_facts

    def holds(self, kind, subject, now):
        """Return whether the set has an unexpired fact of `kind` about `subject`."""
        expiry = self._expiry_by_id.get((kind, subject))
        return expiry is not None and now < expiry

    def find(self, kind, subject, now) -> Fact | None:
        """Return the unexpired fact of `kind` about `subject`, or None."""
        if not self.holds(kind, subject, now):
            return None
        return self._fact_by_id[kind, subject]

    def remaining(self, now) -> list[tuple[Fact, float]]:
        """Return each fact with the seconds until it expires."""
        self._expire(now)
        return [
            (fact, self._expiry_by_id[fact.id] - now)
            for fact in self._fact_by_id.values()
        ]

    def _insert(self, fact, expiry):
        self._fact_by_id[fact.id] = fact
        self._expiry_by_id[fact.id] = expiry
        self._count_by_kind[fact.kind] += 1
        self._next_expiry = min(self._next_expiry, expiry)

    def _expire(self, now):
        if now < self._next_expiry:
            return
        expired = [id for id, expiry in self._expiry_by_id.items() if expiry <= now]
        for id in expired:
            self._remove(id)
        self._next_expiry = min(self._expiry_by_id.values(), default=math.inf)

    def _remove(self, id):
        del self._fact_by_id[id]
        del self._expiry_by_id[id]
        self._count_by_kind[id[0]] -= 1
