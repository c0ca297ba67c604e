"""The facts that this process holds, and how they spread."""

import asyncio
from itertools import islice

import structlog
from reactivex.subject import Subject

from wharf_coordination import Fact, FactSet
from wharf_wire import FactItem, Facts
from wharf_wire.limits import MAX_FACTS_PER_FRAME

__all__ = ["FactFeed"]

log = structlog.get_logger(__name__)


class FactFeed:
    """Hold facts and publish new ones, so that each link can pass them on.

    Entries and sidecars pass every new fact to all their links. A fact is new
    to each process once, so that it reaches all of them and then stops.
    """

    def __init__(self):
        self._facts = FactSet()
        self.news = Subject()

    def publish(self, fact: Fact, lifetime=None):
        """Hold a fact that this process found out, for `lifetime` seconds."""
        self._add([(fact, lifetime)])

    def receive(self, message: Facts):
        """Hold the facts that a peer has sent."""
        self._add([(item.to_fact(), item.remaining) for item in message.items])

    def holds(self, kind, subject):
        """Return whether a fact is held."""
        return self._facts.holds(kind, subject, self._now())

    def find(self, kind, subject) -> Fact | None:
        """Return the held fact, or None."""
        return self._facts.find(kind, subject, self._now())

    def messages(self) -> list[Facts]:
        """Return all held facts, in as few messages as their bound allows."""
        pairs = iter(self._facts.remaining(self._now()))
        batches = iter(lambda: tuple(islice(pairs, MAX_FACTS_PER_FRAME)), ())
        return [
            Facts(tuple(FactItem.from_fact(fact, left) for fact, left in batch))
            for batch in batches
        ]

    def dump(self):
        """Return the held facts for operators."""
        return [
            {"kind": fact.kind, "subject": fact.subject, "reason": fact.reason}
            for fact, _ in self._facts.remaining(self._now())
        ]

    def _add(self, pairs):
        now = self._now()
        fresh = []
        for fact, remaining in pairs:
            if self._facts.add([fact], now, remaining):
                log.info("fact_held", kind=fact.kind, subject=fact.subject)
                left = remaining or self._facts.lifetime
                fresh.append(FactItem.from_fact(fact, left))
        if fresh:
            self.news.on_next(Facts(tuple(fresh)))

    def _now(self):
        return asyncio.get_running_loop().time()
