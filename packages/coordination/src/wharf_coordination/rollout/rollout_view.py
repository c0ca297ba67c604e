"""One process's view of a rollout, with its own deadline."""

from dataclasses import dataclass, field, replace

from wharf_coordination.deadline import Deadline
from wharf_coordination.rollout.rollout import Rollout
from wharf_coordination.rollout.share_plan import SharePlan
from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["RolloutView"]


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A rollout as this process sees it; all times are of its monotonic clock.

    The deadline counts from the moment this process first saw the rollout. The
    start that the record names can only shorten it, so that a wrong clock may
    end a rollout early here, but a process that starts late can't prolong it.
    """

    rollout: Rollout
    first_seen: float
    deadline: Deadline
    step_began: float
    vetoed: str = ""
    plan: SharePlan = field(default=None)

    @classmethod
    def begin(cls, rollout, now, wall_now):
        """Return the view of a rollout first seen at `now`, `wall_now` by epoch."""
        elapsed = min(max(0.0, wall_now - rollout.started_at), rollout.duration)
        return cls(
            rollout=rollout,
            first_seen=now - elapsed,
            deadline=Deadline.after(rollout.duration - elapsed, now),
            step_began=now,
            plan=SharePlan(rollout.duration),
        )

    def update(self, rollout, now):
        """Return the view after a newer record of the same rollout."""
        is_new_step = rollout.step != self.rollout.step
        step_began = now if is_new_step else self.step_began
        return replace(self, rollout=rollout, step_began=step_began)

    def veto(self, reason):
        """Return the view with the new version vetoed, which can't be undone."""
        return self if self.vetoed else replace(self, vetoed=reason or "vetoed")

    def elapsed(self, now):
        """Return the seconds since the rollout began."""
        return now - self.first_seen

    def share(self, now):
        """Return the new version's share of the pool's traffic."""
        match self.rollout.outcome:
            case RolloutOutcome.FINISHED:
                return 1.0
            case RolloutOutcome.TAKEN_BACK:
                return 0.0
        if self.vetoed or self.deadline.is_past(now):
            return 0.0
        return self.plan.share(self.rollout.step, self.elapsed(now))
