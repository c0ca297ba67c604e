"""Running of one stage on some upstream, with retries where they are safe."""

import asyncio

from result import Err, Result

from wharf_coordination import AnswerAssembler, Code, Ran, Refusal
from wharf_daemon.entry.stage_task import StageTask
from wharf_wire import Call, Chunk, Failed

__all__ = ["StageRunner"]

MAX_ATTEMPTS = 4


class StageRunner:
    """Choose an upstream, send the call, and judge how the attempt ended."""

    def __init__(self, links, chooser, feed, metrics, max_answer):
        self._links = links
        self._chooser = chooser
        self._feed = feed
        self._metrics = metrics
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
            outcome = await self._attempt(task, candidate, number, answer)
            if outcome.is_ok():
                return outcome
            last = outcome.unwrap_err()
            ran = ran.join(last.ran)
            if not self._may_retry(task, last):
                break
        return Err(Refusal(last.code, ran, last.detail))

    def _choose(self, task, tried):
        document = self._feed.document
        pool = task.stage.pool
        version = document.folder.pools[pool].version
        candidates = self._links.candidates(document, pool, version, tried)
        return self._chooser.choose(candidates, self._now())

    def _may_retry(self, task, refusal):
        return refusal.ran is Ran.NO or task.stage.idempotent

    async def _attempt(self, task, candidate, number, answer):
        call = self._call(task, candidate, number, answer)
        upstream = self._feed.document.folder.upstreams[candidate.upstream]
        link = self._links.by_address[upstream.address]
        try:
            async with asyncio.timeout(call.time_left):
                outcome = await self._collect(task, link, call, answer)
        except TimeoutError:
            outcome = Err(Refusal.unknown(Code.DEADLINE_PASSED))
        code = Code.OK if outcome.is_ok() else outcome.unwrap_err().code
        self._metrics.attempts.labels(task.stage.name, code.label).inc()
        return outcome

    async def _collect(self, task, link, call, answer):
        frames = link.attempt(call)
        try:
            async for frame in frames:
                match frame:
                    case Failed():
                        return Err(frame.to_refusal())
                    case Chunk(sequence=sequence, body=body):
                        added = answer.add(sequence, body)
                        if added.is_err():
                            return added
                        if added.unwrap() and task.on_chunk:
                            await task.on_chunk(body)
                    case end:
                        return answer.close(end.count)
        finally:
            await frames.aclose()
        return Err(Refusal.unknown(Code.LINK_LOST))

    def _call(self, task, candidate, number, answer):
        request = task.request
        return Call(
            attempt=f"{request.id}/{task.stage.name}/{number}",
            request=request.id,
            pipeline=request.pipeline,
            stage=task.stage.name,
            customer=request.customer,
            version=candidate.version,
            priority=request.priority,
            time_left=max(request.deadline.left(self._now()), 0.001),
            idempotent=task.stage.idempotent,
            streaming=task.streaming,
            body=task.body,
            revision=self._feed.document.revision,
            resume_from=answer.next_sequence,
        )

    def _now(self):
        return asyncio.get_running_loop().time()
