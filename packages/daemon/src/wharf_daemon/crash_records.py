"""Records of requests that are suspected of crashing upstreams."""

import asyncio

from wharf_coordination import Fact, FactKind, Suspects, Suspicion, Verdict
from wharf_coordination.suspicion import SUSPICION_LIFETIME_SECONDS
from wharf_wire import FactItem, Facts

__all__ = ["CrashRecords"]


class CrashRecords:
    """Derive verdicts on fingerprints from shared facts and publish new facts."""

    def __init__(self, facts):
        self._facts = facts
        self._suspects = Suspects()
        facts.new_facts.subscribe(self._observe)

    def verdict(self, fingerprint) -> Verdict:
        """Return the verdict on a stage's fingerprint."""
        return self._suspects.verdict(fingerprint, self._now())

    def suspicions(self, fingerprint) -> list[Suspicion]:
        """Return the open suspicions against a stage's fingerprint."""
        return self._suspects.suspicions(fingerprint, self._now())

    @staticmethod
    def message(suspicion: Suspicion) -> Facts:
        """Return the message that carries a suspicion."""
        item = FactItem.from_fact(suspicion.to_fact(), SUSPICION_LIFETIME_SECONDS)
        return Facts((item,))

    def suspect(self, suspicion: Suspicion) -> Facts:
        """Publish a suspicion and return the message that carries it."""
        self._facts.publish(suspicion.to_fact(), SUSPICION_LIFETIME_SECONDS)
        return self.message(suspicion)

    def clear(self, suspicions):
        """Publish that `suspicions` are disproved."""
        for suspicion in suspicions:
            self._facts.publish(suspicion.to_clearance(), SUSPICION_LIFETIME_SECONDS)

    def condemn(self, request_fingerprint, reason):
        """Publish that a request must not run again."""
        self._facts.publish(Fact(FactKind.CONDEMNED, request_fingerprint, reason))

    def is_condemned(self, request_fingerprint):
        """Return whether a request is known to crash upstreams."""
        return self._facts.holds(FactKind.CONDEMNED, request_fingerprint)

    def _observe(self, message):
        now = self._now()
        for item in message.items:
            self._suspects.observe(item.to_fact(), now, item.remaining)

    def _now(self):
        return asyncio.get_running_loop().time()
