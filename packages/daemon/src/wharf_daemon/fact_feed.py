"""Facts known to this process and their distribution."""

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
    """Hold facts and notify subscribers of new ones.

    Entries and sidecars forward new facts over all their links. A process
    forwards each fact only once, so the facts reach all processes and the
    flooding ends.
    """

    def __init__(self):
        self._facts = FactSet()
        self.new_facts = Subject()

    def publish(self, fact: Fact, lifetime=None):
        """Add a fact found by this process, for `lifetime` seconds."""
        self._add([(fact, lifetime)])

    def receive(self, message: Facts):
        """Add the facts in a peer's message."""
        self._add([(item.to_fact(), item.remaining) for item in message.items])

    def holds(self, kind, subject):
        """Return whether a fact of `kind` on `subject` is held."""
        return self._facts.holds(kind, subject, self._now())

    def find(self, kind, subject) -> Fact | None:
        """Return the held fact of `kind` on `subject`, or None."""
        return self._facts.find(kind, subject, self._now())

    def messages(self) -> list[Facts]:
        """Return all held facts in messages of bounded size."""
        pairs = iter(self._facts.remaining(self._now()))
        batches = iter(lambda: tuple(islice(pairs, MAX_FACTS_PER_FRAME)), ())
        return [
            Facts(tuple(FactItem.from_fact(fact, left) for fact, left in batch))
            for batch in batches
        ]

    def dump(self):
        """Return the held facts as a list for JSON."""
        return [
            {"kind": fact.kind, "subject": fact.subject, "reason": fact.reason}
            for fact, _ in self._facts.remaining(self._now())
        ]

    def _add(self, pairs):
        now = self._now()
        new_items = []
        for fact, remaining in pairs:
            if self._facts.add([fact], now, remaining):
                log.info("fact_held", kind=fact.kind, subject=fact.subject)
                left = remaining or self._facts.lifetime
                new_items.append(FactItem.from_fact(fact, left))
        if new_items:
            self.new_facts.on_next(Facts(tuple(new_items)))

    def _now(self):
        return asyncio.get_running_loop().time()
