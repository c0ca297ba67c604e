"""An operator's order to roll out a new version of a service."""

from dataclasses import dataclass

from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["RolloutOrder"]


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """A service, its new version and the time limit of the rollout, in seconds.

    `target` is the new version. `outcome` is the one in the store, None before one is
    written; `revision` is that of the order's object in the store.
    """

    name: str
    service: str
    target: str
    duration: float
    outcome: RolloutOutcome | None
    revision: int

    @property
    def is_open(self):
        """Return whether the rollout has neither finished nor been rolled back."""
        return self.outcome in (None, RolloutOutcome.RUNNING)

    def is_same_rollout(self, other):
        """Return whether both orders have the same service and new version."""
        return other is not None and (self.service, self.target) == (
            other.service,
            other.target,
        )
