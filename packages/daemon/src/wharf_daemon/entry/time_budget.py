"""Latest start times of stages from estimated stage durations."""

import asyncio

from wharf_coordination import Code, StageTimes

__all__ = ["TimeBudget"]

TIMED_CODES = (Code.OK, Code.DEADLINE_PASSED)
FAULT_CODES = (Code.LINK_LOST, Code.UPSTREAM_CRASHED, Code.UPSTREAM_FAILED)


class TimeBudget:
    """Estimate stage durations and derive the latest start of each stage."""

    def __init__(self, feed, outliers):
        self._feed = feed
        self._outliers = outliers
        self._times = StageTimes()

    def observe(self, outcome):
        """Update the estimates and the outlier detection with an attempt."""
        task, now = outcome.task, outcome.ended_at
        pipeline, stage = task.request.pipeline, task.stage.name
        usual = self._times.expected(pipeline, stage, now)
        is_timed = outcome.code in TIMED_CODES
        slowness = outcome.elapsed / usual if is_timed and usual else None
        failed = outcome.code in FAULT_CODES
        self._outliers.observe(outcome.candidate.upstream, slowness, failed, now)
        if is_timed:
            self._times.observe(pipeline, stage, outcome.elapsed, now)

    def expected(self, task):
        """Return the estimated duration of the task's stage in seconds."""
        return self._expected(task.request.pipeline, task.stage)

    def latest_start(self, task):
        """Return the latest start of the stage that still meets the deadline."""
        return task.request.deadline.at - self.left(task)

    def left(self, task):
        """Return the estimated duration of the stage and those after it in seconds."""
        later = sum(
            self._expected(task.request.pipeline, stage)
            for stage in self.later_stages(task)
        )
        return self.expected(task) + later

    def later_stages(self, task):
        """Return the stages that follow the task's stage."""
        pipelines = self._feed.document.folder.pipelines
        pipeline = pipelines.get(task.request.pipeline)
        if pipeline is None or task.stage not in pipeline.stages:
            return ()
        return pipeline.stages[pipeline.stages.index(task.stage) + 1 :]

    def _expected(self, pipeline, stage):
        now = asyncio.get_running_loop().time()
        return self._times.expected(pipeline, stage.name, now)
