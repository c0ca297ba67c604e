"""Running of one stage on some upstream, with retries where they are safe."""

import asyncio

from result import Err, Result

from wharf_coordination import AnswerAssembler, Code, Ran, Refusal
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["StageRunner"]

MAX_ATTEMPTS = 4


class StageRunner:
    """Choose an upstream for each attempt and decide whether to try again."""

    def __init__(self, links, chooser, feed, versions, attempt_runner, max_answer):
        self._links = links
        self._chooser = chooser
        self._feed = feed
        self._versions = versions
        self._attempt_runner = attempt_runner
        self._max_answer = max_answer

    async def run(self, task: StageTask) -> Result[bytes, Refusal]:
        """Return the stage's whole answer, or why there is none."""
        answer = AnswerAssembler(self._max_answer)
        tried, ran = set(), Ran.NO
        last = Refusal.not_run(Code.NO_UPSTREAM, f"pool {task.stage.pool!r}")
        for number in range(MAX_ATTEMPTS):
            if task.request.deadline.is_past(self._now()):
                return Err(Refusal(Code.DEADLINE_PASSED, ran))
            candidate = self._choose(task, tried)
            if candidate is None:
                break
            tried.add(candidate.upstream)
            result = await self._attempt_runner.run(task, candidate, number, answer)
            if result.is_ok():
                return result
            last = result.unwrap_err()
            ran = ran.join(last.ran)
            if not self._may_retry(task, last):
                break
        return Err(Refusal(last.code, ran, last.detail))

    def _choose(self, task, tried):
        document = self._feed.document
        pool = task.stage.pool
        now = self._now()
        version = self._versions.version_for(task, now, tried)
        candidates = self._links.candidates(document, pool, version, tried)
        return self._chooser.choose(candidates, now)

    def _may_retry(self, task, refusal):
        if refusal.code is Code.REQUEST_CONDEMNED:
            return False
        return refusal.ran is Ran.NO or task.stage.idempotent

    def _now(self):
        return asyncio.get_running_loop().time()
