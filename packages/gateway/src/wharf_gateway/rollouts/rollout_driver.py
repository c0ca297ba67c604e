"""Decisions of one rollout: its next share, its end or its rollback."""

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

__all__ = ["RolloutDriver"]

# Upstreams of the old version are stopped when a rollout is finished. Before that,
# their calls get this long to end, or this share of the remaining time if less.
DRAIN_SECONDS = 2.5
DRAIN_SHARE = 0.6


@dataclass(slots=True)
class RolloutDriver:
    """Decide the share and the outcome from the samples of all gateways.

    `drained_at` is the time at which the old version's calls should have ended; it is
    set once the new version gets all requests, and unset if it is then suspected.
    `reason` is why it was rolled back.
    """

    participant: Participant
    drained_at: float | None = None
    outcome: RolloutOutcome | None = None
    reason: str = ""
    _evaluated_at: float = field(default=float("-inf"))

    @classmethod
    def begin(cls, progress, old_version, now):
        """Return the driver of a rollout, which may have begun some time ago."""
        order = progress.order
        rollout = Rollout(
            order.name, order.service, old_version, order.target, order.duration, 0.0
        )
        participant = Participant.join(rollout, now, now - progress.began_at)
        participant.driver = Driver(Judge(judges=1))
        return cls(participant)

    def add(self, message, now):
        """Add the sample of an attempt that some gateway made."""
        self.participant.add(
            Sample(
                Route(message.route, ""),
                message.version,
                message.in_flight,
                message.failed,
                message.seconds,
                now,
                message.cold,
            )
        )

    def is_suspected(self, now):
        """Return whether samples speak against the new version."""
        view = self.participant.view
        return bool(view.vetoed) or self.participant.is_suspected(now)

    def share(self, now):
        """Return the new version's share of the requests."""
        match self.outcome:
            case RolloutOutcome.TAKEN_BACK:
                return 0.0
            case RolloutOutcome.FINISHED:
                return 1.0
        return 1.0 if self.drained_at is not None else self.participant.share(now)

    def advance(self, now):
        """Evaluate the samples when due; go on to the next share or to the end."""
        if (
            self.outcome is not None
            or now - self._evaluated_at < self.participant.evaluation_interval
        ):
            return
        self._evaluated_at = now
        self.participant.evaluate(now)
        if self.drained_at is not None and self.participant.is_suspected(now):
            self.drained_at = None
        match self.participant.decide(now):
            case TakeBack(reason):
                if self.drained_at is None or self.participant.view.vetoed:
                    self.outcome, self.reason = RolloutOutcome.TAKEN_BACK, reason
            case Finish() if self.drained_at is None:
                left = self.participant.view.deadline.left(now)
                self.drained_at = now + min(DRAIN_SECONDS, DRAIN_SHARE * left)
            case Advance(step):
                match self.participant.rollout.advance(step, (), 0):
                    case Ok(rollout):
                        self.participant.update(rollout, now)
        is_drained = self.drained_at is not None and now >= self.drained_at
        if self.outcome is None and is_drained:
            self.outcome = RolloutOutcome.FINISHED
