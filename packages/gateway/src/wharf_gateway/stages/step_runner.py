"""Runs the steps of a request, up to the handles that its engine needs."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from wharf_gateway.model.piece import Piece
from wharf_gateway.stages.piece_group import PieceGroup
from wharf_gateway.stages.piece_job import PieceJob
from wharf_gateway.stages.step_plan import StepPlan
from wharf_gateway.stages.unprepared import Unprepared

__all__ = ["StepRunner"]

# A step's call is usually neither empty nor full when a piece joins it.
USUAL_FILL = 0.6
# Bytes of a step's inputs or of a result from which on it should run near them. Each
# piece reads all of the step's inputs.
LARGE_BYTES = 500_000


@dataclass(slots=True)
class _Progress:
    handles: dict = field(default_factory=dict)
    failure: str | None = None
    change: asyncio.Event = field(default_factory=asyncio.Event)
    jobs: list = field(default_factory=list)


class StepRunner:
    """Turn the pieces of a request into results, in one pool's collectors.

    `collector(service)` returns the collector of a service in that pool.
    """

    def __init__(self, fleet, collector, clock):
        self._fleet = fleet
        self._collector = collector
        self._clock = clock

    def plan(self, preparation):
        """Return the plan of a preparation with the expected times of its steps."""
        steps = preparation.steps
        counts = (preparation.pieces + (0,) * len(steps))[: len(steps)]
        seconds = tuple(
            self._step_seconds(step, count)
            for step, count in zip(steps, counts, strict=True)
        )
        return StepPlan(steps, counts, seconds)

    async def run(self, preparation, plan, note_done):
        """Return the handles of the final steps, or why there are none.

        `plan` is the preparation's, with nothing started. `note_done(service, count)`
        is told the pieces of each step that ended.
        """
        progress = _Progress()
        try:
            while not plan.is_complete and progress.failure is None:
                for index in plan.startable():
                    self._start(preparation, plan, progress, index)
                await progress.change.wait()
                progress.change.clear()
                self._finish_steps(plan, progress, note_done)
        except BaseException:
            self._abandon(plan, progress)
            raise
        if progress.failure is not None:
            self._abandon(plan, progress)
            return Err(Unprepared(progress.failure))
        return Ok(
            [
                (plan.steps[index].service, handle)
                for index in preparation.final_steps
                for handle in progress.handles.get(index, {}).values()
            ]
        )

    def _step_seconds(self, step, count):
        batching = self._batching(step.service)
        if batching is None or not count:
            return 0.0
        pieces = max(count, batching.batch_size * USUAL_FILL)
        return batching.call_seconds + pieces * batching.piece_seconds

    def _batching(self, name):
        service = self._fleet.configuration.service_by_name.get(name)
        return service.batching if service else None

    def _start(self, preparation, plan, progress, index):
        plan.started.add(index)
        step = plan.steps[index]
        inputs = tuple(
            handle
            for earlier in step.after
            for handle in progress.handles.get(earlier, {}).values()
        )
        batching = self._batching(step.service)
        group = PieceGroup(self._near(preparation, plan, index, inputs))
        progress.handles[index] = dict.fromkeys(range(plan.pieces[index]))
        tail = plan.tail(index)
        jobs = [
            PieceJob(
                Piece(
                    preparation.call_id,
                    index,
                    number,
                    preparation.key,
                    inputs,
                    bool(step.after),
                ),
                preparation.priority,
                preparation.on_time_by - tail,
                preparation.useful_until - tail,
                batching.piece_seconds if batching else 0.0,
                step.result_bytes,
                lambda result, n=number: self._on_result(progress, index, n, result),
                group,
            )
            for number in range(plan.pieces[index])
        ]
        progress.jobs.extend(jobs)
        self._collector(step.service).submit(jobs, self._clock())

    def _near(self, preparation, plan, index, inputs):
        """Return where a step should run, if many bytes move otherwise."""
        step = plan.steps[index]
        if not inputs and step.result_bytes >= LARGE_BYTES:
            return preparation.near
        read = sum(plan.steps[i].result_bytes * plan.pieces[i] for i in step.after)
        if read * plan.pieces[index] >= LARGE_BYTES:
            return self._fleet.centre_of(inputs)
        return ""

    def _on_result(self, progress, index, number, result):
        if result.handle is None:
            progress.failure = progress.failure or result.reason or "error"
        else:
            progress.handles[index][number] = result.handle
        progress.change.set()

    def _finish_steps(self, plan, progress, note_done):
        for index in plan.started - plan.finished:
            if all(progress.handles[index].values()):
                plan.finished.add(index)
                note_done(plan.steps[index].service, plan.pieces[index])
        for index in plan.droppable():
            self._free(plan, index, progress.handles.pop(index, {}))

    def _abandon(self, plan, progress):
        for job in progress.jobs:
            job.is_over = True
        for index, by_number in progress.handles.items():
            self._free(plan, index, by_number)

    def _free(self, plan, index, by_number):
        handles = [handle for handle in by_number.values() if handle]
        if handles:
            collector = self._collector(plan.steps[index].service)
            collector.free(handles)
