"""Decides the next change of a rollout's record."""

from dataclasses import dataclass

from wharf_coordination.rollout.action import Action, Advance, Finish, TakeBack, Wait
from wharf_coordination.rollout.evidence import Evidence
from wharf_coordination.rollout.judge import Judge
from wharf_coordination.rollout.rollout_view import RolloutView
from wharf_coordination.rollout.verdict import Bad, Good, Verdict

__all__ = ["Driver"]


@dataclass(slots=True)
class Driver:
    """Decide from one process's view of the rollout and its evidence."""

    judge: Judge
    step: int = 0
    calls_before_step: int = 0

    def decide(self, view: RolloutView, evidence: Evidence, now) -> Action:
        """Return the change to write now.

        A rollout can't advance or finish within the plan's margin before the
        deadline: by its own deadline each process returns to the old version, and
        none may have done so when "finished" is written.
        """
        self._follow_step(view.rollout.step, evidence)
        if not view.rollout.is_running:
            return Wait()
        if view.vetoed:
            return TakeBack(view.vetoed)
        match self.verdict(view, evidence, now):
            case Bad(reason):
                return TakeBack(reason)
            case Good() if self._may_advance(view, now):
                return self._next_action(view)
            case verdict if view.deadline.left(now) <= view.plan.deadline_margin:
                missing = getattr(verdict, "missing", "too late to finish safely")
                return TakeBack(f"deadline: {missing} at step {view.rollout.step}")
        return Wait()

    def verdict(self, view: RolloutView, evidence: Evidence, now) -> Verdict:
        """Return the judge's verdict on the current step."""
        rate = evidence.call_rate(now)
        return self.judge.verdict(
            evidence,
            self.step,
            self.calls_before_step,
            now,
            rate * view.plan.exposure_seconds(self.step, rate),
            is_last=self.step >= view.plan.last_step,
        )

    def _follow_step(self, step, evidence):
        if step != self.step:
            self.step = step
            self.calls_before_step = evidence.total_new

    def _may_advance(self, view, now):
        in_time = view.deadline.left(now) > view.plan.deadline_margin
        elapsed = view.elapsed(now)
        return in_time and view.plan.may_leave(view.rollout.step, elapsed)

    def _next_action(self, view):
        if view.rollout.step >= view.plan.last_step:
            return Finish()
        return Advance(view.rollout.step + 1)
