"""Runs the steps of a request and collects the results that its engine needs."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from wharf_gateway.model.piece import Piece
from wharf_gateway.stages.piece_group import PieceGroup
from wharf_gateway.stages.piece_job import PieceJob
from wharf_gateway.stages.preparation_failure import PreparationFailure
from wharf_gateway.stages.step_plan import StepPlan

__all__ = ["StepRunner"]

# Fraction of a full batch that a piece's call usually has.
TYPICAL_FILL = 0.6
# Bytes to transfer from which on a step should run in the data centre of its inputs or
# of the engine. Each piece reads all inputs of its step.
LARGE_BYTES = 500_000


@dataclass(slots=True)
class _Progress:
    """Jobs of a preparation, and their handles by step and number.

    `changed` is set after each result.
    """

    handles_by_step: dict = field(default_factory=dict)
    failure: str | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    jobs: list = field(default_factory=list)


class StepRunner:
    """Run preparations with the batchers of one pool.

    `batcher(service)` returns the batcher of a service in that pool.
    """

    def __init__(self, fleet, batcher, clock):
        self._fleet = fleet
        self._batcher = batcher
        self._clock = clock

    def plan(self, preparation):
        """Return the plan of a preparation, with the expected time of each step."""
        steps = preparation.steps
        counts = (preparation.pieces + (0,) * len(steps))[: len(steps)]
        seconds = tuple(
            self._step_seconds(step, count)
            for step, count in zip(steps, counts, strict=True)
        )
        return StepPlan(steps, counts, seconds)

    async def run(self, preparation, plan, on_step_done):
        """Return pairs of service and handle of the final steps' results.

        Returns a `PreparationFailure` instead if a piece fails. `plan` is that of the
        preparation, with no step started. `on_step_done(service, count)` is called
        with the number of pieces of each step that finishes.
        """
        progress = _Progress()
        try:
            while not plan.is_complete and progress.failure is None:
                for index in plan.startable():
                    self._start(preparation, plan, progress, index)
                await progress.changed.wait()
                progress.changed.clear()
                self._finish_steps(plan, progress, on_step_done)
        except BaseException:
            self._abandon(plan, progress)
            raise
        if progress.failure is not None:
            self._abandon(plan, progress)
            return Err(PreparationFailure(progress.failure))
        return Ok(
            [
                (plan.steps[index].service, handle)
                for index in preparation.final_steps
                for handle in progress.handles_by_step.get(index, {}).values()
            ]
        )

    def _step_seconds(self, step, count):
        batching = self._batching(step.service)
        if batching is None or not count:
            return 0.0
        pieces = max(count, batching.batch_size * TYPICAL_FILL)
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
            for handle in progress.handles_by_step.get(earlier, {}).values()
        )
        batching = self._batching(step.service)
        group = PieceGroup(
            self._preferred_data_centre(preparation, plan, index, inputs)
        )
        progress.handles_by_step[index] = dict.fromkeys(range(plan.pieces[index]))
        seconds_after = plan.seconds_after(index)
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
                preparation.soft_deadline - seconds_after,
                preparation.hard_deadline - seconds_after,
                batching.piece_seconds if batching else 0.0,
                step.result_bytes,
                lambda result, n=number: self._on_result(progress, index, n, result),
                group,
            )
            for number in range(plan.pieces[index])
        ]
        progress.jobs.extend(jobs)
        self._batcher(step.service).submit(jobs, self._clock())

    def _preferred_data_centre(self, preparation, plan, index, inputs):
        """Return where a step should run to avoid large transfers, or ""."""
        step = plan.steps[index]
        if not inputs and step.result_bytes >= LARGE_BYTES:
            return preparation.preferred_data_centre
        read = sum(plan.steps[i].result_bytes * plan.pieces[i] for i in step.after)
        if read * plan.pieces[index] >= LARGE_BYTES:
            return self._fleet.data_centre_of(inputs)
        return ""

    def _on_result(self, progress, index, number, result):
        if result.handle is None:
            progress.failure = progress.failure or result.reason or "error"
        else:
            progress.handles_by_step[index][number] = result.handle
        progress.changed.set()

    def _finish_steps(self, plan, progress, on_step_done):
        for index in plan.started - plan.finished:
            if all(progress.handles_by_step[index].values()):
                plan.finished.add(index)
                on_step_done(plan.steps[index].service, plan.pieces[index])
        for index in plan.droppable():
            self._free(plan, index, progress.handles_by_step.pop(index, {}))

    def _abandon(self, plan, progress):
        for job in progress.jobs:
            job.is_done = True
        for index, by_number in progress.handles_by_step.items():
            self._free(plan, index, by_number)

    def _free(self, plan, index, by_number):
        handles = [handle for handle in by_number.values() if handle]
        if handles:
            batcher = self._batcher(plan.steps[index].service)
            batcher.free(handles)
