"""How one attempt of a stage ended."""

from dataclasses import dataclass

from wharf_coordination import Candidate, Code, Refusal
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["AttemptOutcome"]


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What was tried where, and how it ended after `elapsed` seconds.

    `refusal` is None when the attempt gave the whole answer.
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
