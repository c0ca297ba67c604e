"""Which steps of a request start when, and which results are still needed."""

from dataclasses import dataclass, field

__all__ = ["StepPlan"]

# A step that nothing waits for starts this much earlier than the others need, as a
# factor of its own time: its call may have to wait for the one before to end.
HEAD_START = 1.3


@dataclass(slots=True)
class StepPlan:
    """Progress of the steps of one request.

    `steps` are the route's, `pieces` the number of pieces of each, `seconds` the
    expected time of each.
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
        """Return whether all steps have ended."""
        return len(self.finished) == len(self.steps)

    def tail(self, index):
        """Return the seconds that the steps after `index` take."""
        return max(
            (self.seconds[i] + self.tail(i) for i in self._users(index)), default=0.0
        )

    def head(self, index):
        """Return the seconds that the steps before `index` take."""
        return max(
            (self.seconds[i] + self.head(i) for i in self.steps[index].after),
            default=0.0,
        )

    def remaining(self, index):
        """Return the seconds of `index` and what follows, if it hasn't ended."""
        return 0.0 if index in self.finished else self.seconds[index] + self.tail(index)

    def startable(self):
        """Return the steps that should start now.

        A step whose result nothing but the request itself waits for starts late, so
        that its result doesn't take up room while longer chains run.
        """
        return [i for i in range(len(self.steps)) if self._should_start(i)]

    def droppable(self):
        """Return the finished steps whose results no step needs any more."""
        return [
            i
            for i in self.finished
            if self._users(i) and self._users(i) <= self.finished
        ]

    def _should_start(self, index):
        step = self.steps[index]
        if index in self.started or not self.finished.issuperset(step.after):
            return False
        if step.after or self._users(index):
            return True
        others = [i for i in range(len(self.steps)) if i != index]
        longest = max((self._longest(i) for i in others), default=0.0)
        return longest <= self.seconds[index] * HEAD_START

    def _longest(self, index):
        is_lone = not self.steps[index].after and not self._users(index)
        return 0.0 if is_lone else self.remaining(index)

    def _users(self, index):
        return {
            i
            for i, step in enumerate(self.steps)
            if index in step.after and self.pieces[i]
        }
