"""When the steps of a request start, and which results are still needed."""

from dataclasses import dataclass, field

__all__ = ["StepPlan"]

# A step without dependencies and dependents starts when the other steps still need this
# multiple of its own expected time: its call may have to wait for the previous one.
HEAD_START_FACTOR = 1.3


@dataclass(slots=True)
class StepPlan:
    """Progress of the steps of one request.

    `steps` are those of the route. `pieces` holds the number of pieces of each step,
    `seconds` the expected duration of each. `started` and `finished` are indices.
    """

    steps: tuple
    pieces: tuple[int, ...]
    seconds: tuple[float, ...]
    started: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)

    def __post_init__(self):
        self.finished = {i for i, count in enumerate(self.pieces) if count == 0}
        self.started = set(self.finished)

    @property
    def is_complete(self):
        """Return whether all steps have finished."""
        return len(self.finished) == len(self.steps)

    def seconds_after(self, index):
        """Return the expected seconds from the end of a step to the last step's end."""
        return max(
            (self.seconds[i] + self.seconds_after(i) for i in self._dependents(index)),
            default=0.0,
        )

    def seconds_before(self, index):
        """Return the expected seconds from the first step's start to this step's."""
        return max(
            (self.seconds[i] + self.seconds_before(i) for i in self.steps[index].after),
            default=0.0,
        )

    def seconds_remaining(self, index):
        """Return the expected seconds of a step and its dependents; 0 if finished."""
        return (
            0.0
            if index in self.finished
            else self.seconds[index] + self.seconds_after(index)
        )

    def startable(self):
        """Return the steps that should start now.

        An independent step, which has no dependencies and no dependents, starts late,
        so that its result doesn't take up space while longer chains of steps run.
        """
        return [i for i in range(len(self.steps)) if self._should_start(i)]

    def droppable(self):
        """Return the finished steps whose dependents have all finished."""
        return [
            i
            for i in self.finished
            if self._dependents(i) and self._dependents(i) <= self.finished
        ]

    def _should_start(self, index):
        step = self.steps[index]
        if index in self.started or not self.finished.issuperset(step.after):
            return False
        if step.after or self._dependents(index):
            return True
        others = [i for i in range(len(self.steps)) if i != index]
        longest = max((self._chain_seconds(i) for i in others), default=0.0)
        return longest <= self.seconds[index] * HEAD_START_FACTOR

    def _chain_seconds(self, index):
        is_independent = not self.steps[index].after and not self._dependents(index)
        return 0.0 if is_independent else self.seconds_remaining(index)

    def _dependents(self, index):
        return {
            i
            for i, step in enumerate(self.steps)
            if index in step.after and self.pieces[i]
        }
