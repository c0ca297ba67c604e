"""Moves one service to its new version, or back."""

from dataclasses import dataclass, field

from result import Ok

from wharf_coordination.rollout import (
    Advance,
    Driver,
    Finish,
    Judge,
    Participant,
    Rollout,
    Route,
    Sample,
    TakeBack,
)
from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["TrialDriver"]

# Upstreams of the old version are stopped when a rollout is finished: what they run
# has this long to end, or the given part of the time that is left.
SETTLE_SECONDS = 2.5
SETTLE_PART = 0.6


@dataclass(slots=True)
class TrialDriver:
    """Decide the new version's share and the end, from all gateways' samples."""

    part: Participant
    settled_at: float | None = None
    outcome: RolloutOutcome | None = None
    reason: str = ""
    _looked_at: float = field(default=float("-inf"))

    @classmethod
    def begin(cls, trial, old_version, now):
        """Return the driver of a trial, which may be some seconds old."""
        order = trial.order
        rollout = Rollout(
            order.name, order.service, old_version, order.target, order.duration, 0.0
        )
        part = Participant.join(rollout, now, now - trial.began_at)
        part.driver = Driver(Judge(judges=1))
        return cls(part)

    def add(self, message, now):
        """Take the outcome of an attempt, as a gateway tells it."""
        self.part.add(
            Sample(
                Route(message.route, ""),
                message.version,
                message.in_flight,
                message.failed,
                message.seconds,
                now,
            )
        )

    def share(self, now):
        """Return the new version's share of the requests."""
        match self.outcome:
            case RolloutOutcome.TAKEN_BACK:
                return 0.0
            case RolloutOutcome.FINISHED:
                return 1.0
        return 1.0 if self.settled_at is not None else self.part.view.share(now)

    def advance(self, now):
        """Go on to the next share, or to the end."""
        if (
            self.outcome is not None
            or now - self._looked_at < self.part.evaluation_interval
        ):
            return
        self._looked_at = now
        self.part.evaluate(now)
        match self.part.decide(now):
            case TakeBack(reason):
                if self.settled_at is None or self.part.view.vetoed:
                    self.outcome, self.reason = RolloutOutcome.TAKEN_BACK, reason
            case Finish() if self.settled_at is None:
                left = self.part.view.deadline.left(now)
                self.settled_at = now + min(SETTLE_SECONDS, SETTLE_PART * left)
            case Advance(step):
                match self.part.rollout.advance(step, (), 0):
                    case Ok(rollout):
                        self.part.update(rollout, now)
        is_settled = self.settled_at is not None and now >= self.settled_at
        if self.outcome is None and is_settled:
            self.outcome = RolloutOutcome.FINISHED
