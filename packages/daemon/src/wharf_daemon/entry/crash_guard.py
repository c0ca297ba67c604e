"""The entry's part against requests that crash upstreams."""

import asyncio
from itertools import count

from result import Err, Ok, Result

from wharf_coordination import (
    Code,
    DeathKind,
    Ran,
    Refusal,
    Suspicion,
    Verdict,
)
from wharf_coordination.fingerprint import digest
from wharf_daemon.crash_records import CrashRecords

__all__ = ["CrashGuard"]

SETTLE_SECONDS = 0.1
SUSPECT_RETRY_SECONDS = 0.02


class CrashGuard:
    """Run attempts, suspects apart from each other, condemned requests never.

    It stands before the attempt runner and learns from its outcomes. The
    sidecar enforces that suspects don't meet; here they wait for their turn.
    """

    def __init__(self, attempt_runner, facts, run_name):
        self._attempt_runner = attempt_runner
        self._ledger = CrashRecords(facts)
        self._run_name = run_name
        attempt_runner.outcomes.subscribe(self._learn)

    def admit(self, request) -> Result[None, Refusal]:
        """Refuse a condemned request before any of its stages runs."""
        if self._ledger.is_condemned(request.fingerprint):
            return Err(_condemned(request))
        return Ok(None)

    async def run(self, task, candidate, number, answer) -> Result[bytes, Refusal]:
        """Run one attempt; a suspect waits until no other runs on the upstream."""
        if self._ledger.verdict(task.fingerprint) is Verdict.SUSPECT:
            # What other entries have seen of this request arrives meanwhile.
            await self._pause(task, SETTLE_SECONDS)
        for turn in count():
            if self._ledger.verdict(task.fingerprint) is Verdict.CONDEMNED:
                break
            # A sidecar runs an attempt of one name only once.
            name = f"{number}.{turn}" if turn else number
            result = await self._attempt_runner.run(task, candidate, name, answer)
            if not self._waits(task, result):
                return result
            await self._pause(task, SUSPECT_RETRY_SECONDS)
        return Err(_condemned(task.request))

    def _waits(self, task, result):
        refusal = result.err()
        if refusal is None or refusal.code is not Code.SUSPECT_WAITS:
            return False
        return not task.request.deadline.is_past(self._now())

    async def _pause(self, task, seconds):
        left = task.request.deadline.left(self._now())
        await asyncio.sleep(min(seconds, left / 4))

    def _learn(self, outcome):
        task = outcome.task
        match outcome.code:
            case Code.OK:
                self._ledger.clear(self._ledger.suspicions(task.fingerprint))
            case Code.LINK_LOST if outcome.refusal.ran is Ran.UNKNOWN:
                self._ledger.suspect(self._loss(outcome))
        if self._ledger.verdict(task.fingerprint) is Verdict.CONDEMNED:
            upstream = outcome.candidate.upstream
            self._ledger.condemn(task.request.fingerprint, f"died last: {upstream}")

    def _loss(self, outcome):
        place = (self._run_name, outcome.candidate.upstream, outcome.ended_at)
        death = digest(*(str(part).encode() for part in place))
        return Suspicion(outcome.task.fingerprint, death, DeathKind.LOSS)

    def _now(self):
        return asyncio.get_running_loop().time()


def _condemned(request):
    detail = f"request {request.fingerprint} crashed the upstreams that ran it"
    return Refusal.not_run(Code.REQUEST_CONDEMNED, detail)
