"""Execution of one attempt of a stage on a selected upstream."""

import asyncio

from reactivex.subject import Subject
from result import Err, Result

from wharf_coordination import AnswerAssembler, Code, Refusal
from wharf_daemon.entry.attempt_outcome import AttemptOutcome
from wharf_wire import Call, Chunk, Failed
from wharf_wire.limits import MAX_BODY_BYTES

__all__ = ["AttemptRunner"]

MIN_TIME_LEFT_SECONDS = 0.001


class AttemptRunner:
    """Send a call over a link and collect its answer.

    The outcome of each attempt is published to the subscribers of `outcomes`.
    """

    def __init__(self, links, feed):
        self._links = links
        self._feed = feed
        self.outcomes = Subject()

    async def run(
        self, task, candidate, number, answer: AnswerAssembler
    ) -> Result[bytes, Refusal]:
        """Return the complete answer of attempt `number`, or a refusal."""
        if not task.streaming:
            # Upstreams split the same answer differently, so it can't be resumed.
            answer = AnswerAssembler(answer.max_bytes)
        if len(task.body) > MAX_BODY_BYTES:
            detail = (
                f"stage {task.stage.name!r} input too large: {len(task.body)} bytes"
            )
            return Err(Refusal.not_run(Code.ANSWER_TOO_LARGE, detail))
        link = self._link(candidate)
        if link is None:
            detail = f"upstream {candidate.upstream!r} was removed"
            return Err(Refusal.not_run(Code.LINK_LOST, detail))
        call = self._build_call(task, candidate, number, answer)
        started_at = self._now()
        try:
            async with asyncio.timeout(call.time_left):
                result = await self._collect(task, link, call, answer)
        except TimeoutError:
            result = Err(Refusal.unknown(Code.DEADLINE_PASSED))
        now = self._now()
        outcome = AttemptOutcome(task, candidate, result.err(), now - started_at, now)
        self.outcomes.on_next(outcome)
        return result

    def _link(self, candidate):
        upstream = self._feed.document.folder.upstreams.get(candidate.upstream)
        return self._links.by_address.get(upstream.address) if upstream else None

    async def _collect(self, task, link, call, answer):
        frames = link.attempt(call)
        try:
            async for frame in frames:
                match frame:
                    case Failed():
                        return Err(frame.to_refusal())
                    case Chunk():
                        added = answer.add(frame.sequence, frame.bodies)
                        if added.is_err():
                            return added
                        if task.on_chunks and (bodies := added.unwrap()):
                            await task.on_chunks(bodies)
                    case end:
                        return answer.close(end.count)
        finally:
            await frames.aclose()
        return Err(Refusal.unknown(Code.LINK_LOST))

    def _build_call(self, task, candidate, number, answer):
        request = task.request
        return Call(
            attempt=f"{request.id}/{task.stage.name}/{number}",
            request=request.id,
            pipeline=request.pipeline,
            stage=task.stage.name,
            customer=request.customer,
            version=candidate.version,
            priority=request.priority,
            time_left=max(request.deadline.left(self._now()), MIN_TIME_LEFT_SECONDS),
            idempotent=task.stage.idempotent,
            streaming=task.streaming,
            body=task.body,
            revision=self._feed.document.revision,
            resume_from=answer.next_sequence,
            fingerprint=task.fingerprint,
        )

    def _now(self):
        return asyncio.get_running_loop().time()
