"""Outcome of one attempt of a stage."""

from dataclasses import dataclass

from wharf_coordination import Candidate, Code, Refusal
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["AttemptOutcome"]


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of an attempt of `task` on `candidate`.

    `refusal` is None if the attempt returned a complete answer. `elapsed` is in
    seconds; `ended_at` is a time of the event loop.
    """

    task: StageTask
    candidate: Candidate
    refusal: Refusal | None
    elapsed: float
    ended_at: float

    @property
    def code(self):
        """Return the result code of the attempt."""
        return Code.OK if self.refusal is None else self.refusal.code
