"""Record of one rollout and its permitted changes."""

from dataclasses import dataclass, replace

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal
from wharf_coordination.rollout.route_evidence import RouteEvidence
from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["MAX_DURATION_SECONDS", "MIN_DURATION_SECONDS", "Rollout"]

MIN_DURATION_SECONDS = 30.0
MAX_DURATION_SECONDS = 12 * 3600.0


@dataclass(frozen=True, slots=True)
class Rollout:
    """Shift of a pool's traffic from one version to another within a deadline.

    `duration` is the deadline in seconds after the start, `started_at` the start
    in seconds since the epoch. `fence` is the fencing number of the last writer.
    A terminal outcome never changes.
    """

    id: str
    pool: str
    old_version: str
    new_version: str
    duration: float
    started_at: float
    step: int = 0
    fence: int = 0
    outcome: RolloutOutcome = RolloutOutcome.RUNNING
    reason: str = ""
    evidence: tuple[RouteEvidence, ...] = ()

    @property
    def is_running(self):
        """Return whether the rollout has no terminal outcome yet."""
        return self.outcome is RolloutOutcome.RUNNING

    @property
    def veto_subject(self):
        """Return the subject of a veto, which is unique to this rollout."""
        return f"{self.pool}@{self.new_version}#{self.id}"

    def advance(self, step, evidence, fence) -> Result["Rollout", Refusal]:
        """Return the record at `step`, which must be the next one."""
        if step != self.step + 1:
            detail = f"step {step} does not follow step {self.step}"
            return Err(Refusal.not_run(Code.CONFLICT, detail))
        return self._changed(fence, step=step, evidence=tuple(evidence))

    def finish(self, evidence, fence) -> Result["Rollout", Refusal]:
        """Return the record as finished."""
        return self._changed(
            fence, outcome=RolloutOutcome.FINISHED, evidence=tuple(evidence)
        )

    def take_back(self, reason, evidence, fence) -> Result["Rollout", Refusal]:
        """Return the record as taken back for `reason`."""
        return self._changed(
            fence,
            outcome=RolloutOutcome.TAKEN_BACK,
            reason=reason,
            evidence=tuple(evidence) or self.evidence,
        )

    def _changed(self, fence, **changes):
        if not self.is_running:
            detail = f"rollout {self.id} is already {self.outcome}"
            return Err(Refusal.not_run(Code.CONFLICT, detail))
        if fence < self.fence:
            detail = f"fencing number {fence} is lower than current {self.fence}"
            return Err(Refusal.not_run(Code.STALE_FENCING, detail))
        return Ok(replace(self, fence=fence, **changes))
