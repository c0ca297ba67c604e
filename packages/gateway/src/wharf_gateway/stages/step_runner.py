"""Runs the steps of a request, up to the handles that its engine needs."""

import asyncio
from dataclasses import dataclass, field

import structlog
from result import Err, Ok

from wharf_gateway.model.piece import Piece
from wharf_gateway.stages.piece_job import PieceJob
from wharf_gateway.stages.step_plan import StepPlan

__all__ = ["StepRunner"]

log = structlog.get_logger(__name__)

# A step's call is usually neither empty nor full when a piece joins it.
USUAL_FILL = 0.6
# Expected seconds of an engine up to its first event, until some are measured.
ENGINE_SECONDS = 0.25


@dataclass(slots=True)
class _Progress:
    handles: dict = field(default_factory=dict)
    failure: str | None = None
    change: asyncio.Event = field(default_factory=asyncio.Event)
    jobs: list = field(default_factory=list)


class StepRunner:
    """Turn the pieces of a request into the inputs of its engine."""

    def __init__(self, fleet, router, clock):
        self._fleet = fleet
        self._router = router
        self._clock = clock

    def expected_seconds(self, route, pieces):
        """Return the least time that the steps take on idle upstreams."""
        plan = self._plan(route, pieces)
        return max((plan.remaining(i) for i in range(len(plan.steps))), default=0.0)

    async def run(self, context):
        """Return the handles of the final steps, or why there are none."""
        plan = self._plan(context.route, context.details.pieces)
        progress = _Progress()
        try:
            while not plan.is_complete and progress.failure is None:
                for index in plan.startable():
                    self._start(context, plan, progress, index)
                await progress.change.wait()
                progress.change.clear()
                self._finish_steps(context, plan, progress)
        except BaseException:
            self._abandon(progress, context)
            raise
        if progress.failure is not None:
            self._abandon(progress, context)
            return Err(progress.failure)
        return Ok(self._final_handles(context, plan, progress))

    def free(self, context, handles):
        """Drop results that are not needed any more."""
        self._router.free(handles, self._clock())

    def _plan(self, route, pieces):
        counts = pieces + (0,) * (len(route.steps) - len(pieces))
        seconds = tuple(
            self._step_seconds(step, count)
            for step, count in zip(route.steps, counts, strict=False)
        )
        return StepPlan(route.steps, counts[: len(route.steps)], seconds)

    def _step_seconds(self, step, count):
        service = self._fleet.configuration.service_by_name.get(step.service)
        if service is None or service.batching is None or not count:
            return 0.0
        batching = service.batching
        pieces = max(count, batching.batch * USUAL_FILL)
        return batching.call_seconds + pieces * batching.piece_seconds

    def _start(self, context, plan, progress, index):
        plan.started.add(index)
        step = context.route.steps[index]
        inputs = tuple(
            handle
            for earlier in step.after
            for handle in progress.handles.get(earlier, {}).values()
        )
        service = self._fleet.configuration.service_by_name.get(step.service)
        piece_seconds = service.batching.piece_seconds if service else 0.0
        after = plan.tail(index) + ENGINE_SECONDS
        progress.handles[index] = dict.fromkeys(range(plan.pieces[index]))
        jobs = [
            PieceJob(
                Piece(
                    context.details.id,
                    index,
                    number,
                    context.details.piece_key,
                    inputs,
                    bool(step.after),
                ),
                context.priority,
                context.on_time_by - after,
                context.deadline - plan.tail(index),
                piece_seconds,
                step.result_bytes,
                lambda result, n=number: self._on_result(
                    context, progress, index, n, result
                ),
            )
            for number in range(plan.pieces[index])
        ]
        progress.jobs.extend(jobs)
        self._router.submit(step.service, context.data_centre, jobs, self._clock())

    def _on_result(self, context, progress, index, number, result):
        step = context.route.steps[index]
        if result.handle is None:
            progress.failure = progress.failure or result.reason or "error"
        else:
            progress.handles[index][number] = result.handle
            self._router.keep(result.handle, step.service, context.data_centre)
        progress.change.set()

    def _finish_steps(self, context, plan, progress):
        for index in plan.started - plan.finished:
            if all(handle for handle in progress.handles[index].values()):
                plan.finished.add(index)
        for index in plan.droppable():
            self.free(context, progress.handles.pop(index, {}).values())

    def _abandon(self, progress, context):
        for job in progress.jobs:
            job.is_over = True
        self._router.cancel(context.details.id)
        handles = [
            handle
            for by_number in progress.handles.values()
            for handle in by_number.values()
            if handle
        ]
        self._router.free(handles, self._clock())

    def _final_handles(self, context, plan, progress):
        return [
            handle
            for index in context.route.final_steps
            for handle in progress.handles.get(index, {}).values()
        ]
