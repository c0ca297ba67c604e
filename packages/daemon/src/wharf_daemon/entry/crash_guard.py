"""Containment of requests that crash upstreams, in the entry."""

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

SUSPECT_DELAY_SECONDS = 0.1
SUSPECT_RETRY_INTERVAL_SECONDS = 0.02


class CrashGuard:
    """Wrap the attempt runner with checks of suspected and condemned requests.

    A condemned request is refused. A suspect is retried until no other suspect
    runs on its upstream; the sidecar enforces that. Outcomes of attempts raise
    and clear suspicions.
    """

    def __init__(self, attempt_runner, facts, run_id):
        self._attempt_runner = attempt_runner
        self._records = CrashRecords(facts)
        self._run_id = run_id
        attempt_runner.outcomes.subscribe(self._on_outcome)

    def admit(self, request) -> Result[None, Refusal]:
        """Refuse a condemned request before its first stage."""
        if self._records.is_condemned(request.fingerprint):
            return Err(_condemned_refusal(request))
        return Ok(None)

    async def run(self, task, candidate, number, answer) -> Result[bytes, Refusal]:
        """Run one attempt; a suspect waits while another runs on the upstream."""
        if self._records.verdict(task.fingerprint) is Verdict.SUSPECT:
            # Leaves time for facts of other entries about this request to arrive.
            await self._pause(task, SUSPECT_DELAY_SECONDS)
        for retry in count():
            if self._records.verdict(task.fingerprint) is Verdict.CONDEMNED:
                break
            # A sidecar rejects an attempt name that it has already seen.
            name = f"{number}.{retry}" if retry else number
            result = await self._attempt_runner.run(task, candidate, name, answer)
            if not self._must_wait(task, result):
                return result
            await self._pause(task, SUSPECT_RETRY_INTERVAL_SECONDS)
        return Err(_condemned_refusal(task.request))

    def _must_wait(self, task, result):
        refusal = result.err()
        if refusal is None or refusal.code is not Code.SUSPECT_WAITS:
            return False
        return not task.request.deadline.is_past(self._now())

    async def _pause(self, task, seconds):
        left = task.request.deadline.left(self._now())
        await asyncio.sleep(min(seconds, left / 4))

    def _on_outcome(self, outcome):
        task = outcome.task
        match outcome.code:
            case Code.OK:
                self._records.clear(self._records.suspicions(task.fingerprint))
            case Code.LINK_LOST if outcome.refusal.ran is Ran.UNKNOWN:
                self._records.suspect(self._link_loss_suspicion(outcome))
        if self._records.verdict(task.fingerprint) is Verdict.CONDEMNED:
            upstream = outcome.candidate.upstream
            self._records.condemn(task.request.fingerprint, f"last crash: {upstream}")

    def _link_loss_suspicion(self, outcome):
        identity = (self._run_id, outcome.candidate.upstream, outcome.ended_at)
        death = digest(*(str(part).encode() for part in identity))
        return Suspicion(outcome.task.fingerprint, death, DeathKind.LOSS)

    def _now(self):
        return asyncio.get_running_loop().time()


def _condemned_refusal(request):
    detail = f"request {request.fingerprint} crashed the upstreams that ran it"
    return Refusal.not_run(Code.REQUEST_CONDEMNED, detail)
