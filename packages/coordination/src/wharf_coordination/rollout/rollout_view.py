"""View of a rollout by one process, with a deadline on its own clock."""

from dataclasses import dataclass, field, replace
from math import inf

from wharf_coordination.deadline import Deadline
from wharf_coordination.rollout.rollout import Rollout
from wharf_coordination.rollout.share_plan import SharePlan
from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["RolloutView"]


@dataclass(frozen=True, slots=True)
class RolloutView:
    """View of a rollout; all times are in seconds of the local monotonic clock.

    The deadline counts from when this process first saw the rollout. The start time
    in the record can only bring it forward: a wrong wall clock may end the rollout
    early in this process, but a process that starts late can't prolong it.
    """

    rollout: Rollout
    began_at: float
    deadline: Deadline
    step_began_at: float
    vetoed: str = ""
    plan: SharePlan = field(default=None)

    @classmethod
    def begin(cls, rollout, now, wall_now):
        """Return the view of a rollout first seen at `now`; `wall_now` is Unix time."""
        elapsed = min(max(0.0, wall_now - rollout.started_at), rollout.duration)
        return cls(
            rollout=rollout,
            began_at=now - elapsed,
            deadline=Deadline.after(rollout.duration - elapsed, now),
            step_began_at=now,
            plan=SharePlan(rollout.duration),
        )

    def update(self, rollout, now):
        """Return the view with a newer record of the same rollout."""
        is_new_step = rollout.step != self.rollout.step
        step_began_at = now if is_new_step else self.step_began_at
        return replace(self, rollout=rollout, step_began_at=step_began_at)

    def veto(self, reason):
        """Return the view with the new version vetoed; a veto can't be revoked."""
        return self if self.vetoed else replace(self, vetoed=reason or "vetoed")

    def elapsed(self, now):
        """Return the seconds since the rollout began."""
        return now - self.began_at

    def share(self, now, rate=inf):
        """Return the new version's share of the pool's `rate` calls a second."""
        match self.rollout.outcome:
            case RolloutOutcome.FINISHED:
                return 1.0
            case RolloutOutcome.TAKEN_BACK:
                return 0.0
        if self.vetoed or self.deadline.is_past(now):
            return 0.0
        return self.plan.share(self.rollout.step, self.elapsed(now), rate)
