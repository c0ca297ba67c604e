"""Execution of one stage, with retries where they are safe."""

from itertools import count

from result import Err, Result

from wharf_coordination import AnswerAssembler, Code, Ran, Refusal
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["StageRunner"]

NON_RETRYABLE_CODES = (Code.DEADLINE_PASSED, Code.ANSWER_TOO_LARGE, Code.CALLER_LEFT)


class StageRunner:
    """Run attempts of a stage, each after admission, until one succeeds."""

    def __init__(self, links, feed, admission, policy, attempt_runner, max_answer):
        self._links = links
        self._feed = feed
        self._admission = admission
        self._policy = policy
        self._attempt_runner = attempt_runner
        self._max_answer = max_answer

    async def run(self, task: StageTask) -> Result[bytes, Refusal]:
        """Return the stage's complete answer, or a refusal."""
        answer = AnswerAssembler(self._max_answer)
        tried, ran, version, attempts = set(), Ran.NO, None, 0
        self._policy.retry_budget.count_first_try()
        refusal = Refusal.not_run(Code.NO_UPSTREAM, f"pool {task.stage.pool!r}")
        for number in count():
            admitted = await self._admission.admit(task, tried)
            if admitted.is_err():
                refusal = admitted.unwrap_err()
                break
            candidate = admitted.unwrap()
            result = await self._attempt(task, candidate, number, answer, version)
            if result.is_ok():
                return result
            refusal = result.unwrap_err()
            ran = ran.join(refusal.ran)
            version = candidate.version
            if not _is_upstream_full(refusal):
                tried.add(candidate.upstream)
                attempts += 1
            if attempts >= self._policy.max_attempts:
                break
            if not self._may_retry(task, refusal, answer):
                break
            if not (task.streaming and self._can_resume(task)):
                # Parts of different attempts must not be combined, so start over.
                answer = AnswerAssembler(self._max_answer)
        return Err(Refusal(refusal.code, ran.join(refusal.ran), refusal.detail))

    async def _attempt(self, task, candidate, number, answer, version):
        try:
            if answer.next_sequence and candidate.version != version:
                detail = f"version {version!r} started the answer and is not available"
                return Err(Refusal.unknown(Code.ANSWER_BROKEN, detail))
            result = await self._attempt_runner.run(task, candidate, number, answer)
            if _is_upstream_full(result.err()):
                # Must precede the release, which admits the next call.
                self._links.observe_full(candidate)
            return result
        finally:
            self._admission.release(candidate, task.stage.pool)

    def _may_retry(self, task, refusal, answer):
        if refusal.code is Code.REQUEST_CONDEMNED:
            return False
        if refusal.ran is Ran.NO:
            return True
        if refusal.code in NON_RETRYABLE_CODES or not task.stage.idempotent:
            return False
        if task.streaming and answer.next_sequence and not self._can_resume(task):
            return False
        return self._policy.retry_budget.spend()

    def _can_resume(self, task):
        pool = self._feed.document.folder.pools.get(task.stage.pool)
        return pool is not None and pool.kind == "engine"


def _is_upstream_full(refusal):
    return (
        refusal is not None
        and refusal.code is Code.UPSTREAM_FULL
        and refusal.ran is Ran.NO
    )
