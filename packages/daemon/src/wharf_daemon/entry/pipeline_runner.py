"""Sequential execution of a request's stages."""

import asyncio
import json

from result import Err, Ok, Result

from wharf_coordination import Code, Ran, Refusal, stage_fingerprint
from wharf_daemon.entry.request import Request
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["PipelineRunner"]


class PipelineRunner:
    """Run each stage on the caller's input and the earlier stages' answers."""

    def __init__(self, stage_runner, feed, metrics, crash_guard):
        self._stage_runner = stage_runner
        self._crash_guard = crash_guard
        self._feed = feed
        self._metrics = metrics

    async def run(self, request: Request, on_chunks=None) -> Result[bytes, Refusal]:
        """Return the last stage's answer, or the first refusal.

        If `on_chunks` is given, it is called with the last stage's chunks as they
        arrive.
        """
        admitted = self._crash_guard.admit(request)
        if admitted.is_err():
            return admitted
        pipeline = self._feed.document.folder.pipelines.get(request.pipeline)
        if pipeline is None:
            detail = f"pipeline {request.pipeline!r} was removed"
            return Err(Refusal.not_run(Code.UNKNOWN_PIPELINE, detail))
        stages = pipeline.stages
        answers = {}
        outcome = Ok(request.body)
        for stage in stages:
            is_last = stage is stages[-1]
            body = self._build_input(request, answers)
            fingerprint = stage_fingerprint(request.fingerprint, stage.name)
            chunk_handler = on_chunks if is_last else None
            task = StageTask(request, stage, body, chunk_handler, fingerprint)
            outcome = await self._run_stage(task)
            if outcome.is_err():
                return Err(self._failure(outcome.unwrap_err(), answers))
            answers[stage.name] = outcome.unwrap()
            if not task.streaming and not _is_json(outcome.unwrap()):
                detail = f"stage {stage.name!r} returned an answer that is not JSON"
                return Err(Refusal.unknown(Code.ANSWER_BROKEN, detail))
        return outcome

    async def _run_stage(self, task):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            return await self._stage_runner.run(task)
        finally:
            labels = (task.request.pipeline, task.stage.name)
            elapsed = loop.time() - started_at
            self._metrics.stage_seconds.labels(*labels).observe(elapsed)

    def _build_input(self, request, answers):
        stages = b",".join(
            json.dumps(name).encode() + b":" + answer
            for name, answer in answers.items()
        )
        return b'{"input":' + request.body + b',"stages":{' + stages + b"}}"

    def _failure(self, refusal, answers):
        # Earlier stages have run, so the request can't be reported as not run.
        ran = Ran.UNKNOWN if answers else refusal.ran
        return Refusal(refusal.code, ran, refusal.detail)


def _is_json(answer):
    try:
        json.loads(answer)
    except (ValueError, RecursionError):
        return False
    return True
