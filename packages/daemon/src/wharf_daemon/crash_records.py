"""What this process knows of requests that may crash upstreams."""

import asyncio

from wharf_coordination import Fact, FactKind, Suspects, Suspicion, Verdict
from wharf_coordination.suspicion import SUSPICION_LIFETIME_SECONDS
from wharf_wire import FactItem, Facts

__all__ = ["CrashRecords"]


class CrashRecords:
    """Judge fingerprints by the facts of all processes, and state new ones."""

    def __init__(self, facts):
        self._facts = facts
        self._suspects = Suspects()
        facts.news.subscribe(self._observe)

    def verdict(self, fingerprint) -> Verdict:
        """Return what is held against a stage's fingerprint."""
        return self._suspects.verdict(fingerprint, self._now())

    def suspicions(self, fingerprint) -> list[Suspicion]:
        """Return the suspicions held against a stage's fingerprint."""
        return self._suspects.suspicions(fingerprint, self._now())

    @staticmethod
    def message(suspicion: Suspicion) -> Facts:
        """Return the message that carries a suspicion."""
        item = FactItem.from_fact(suspicion.to_fact(), SUSPICION_LIFETIME_SECONDS)
        return Facts((item,))

    def suspect(self, suspicion: Suspicion) -> Facts:
        """State a suspicion; return the message that carries it."""
        self._facts.publish(suspicion.to_fact(), SUSPICION_LIFETIME_SECONDS)
        return self.message(suspicion)

    def clear(self, suspicions):
        """State that `suspicions` are disproved."""
        for suspicion in suspicions:
            self._facts.publish(suspicion.to_clearance(), SUSPICION_LIFETIME_SECONDS)

    def condemn(self, request_fingerprint, reason):
        """State that a request must not run again."""
        self._facts.publish(Fact(FactKind.CONDEMNED, request_fingerprint, reason))

    def is_condemned(self, request_fingerprint):
        """Return whether a request must not run again."""
        return self._facts.holds(FactKind.CONDEMNED, request_fingerprint)

    def _observe(self, message):
        now = self._now()
        for item in message.items:
            self._suspects.observe(item.to_fact(), now, item.remaining)

    def _now(self):
        return asyncio.get_running_loop().time()
