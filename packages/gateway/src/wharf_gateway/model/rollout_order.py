"""An operators' order to move a service to another version."""

from dataclasses import dataclass

from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["RolloutOrder"]


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """The service, its new version, and the seconds within which it must end.

    `outcome` is what the store says of it, none before anything is written;
    `revision` is that of its object in the store.
    """

    name: str
    service: str
    target: str
    duration: float
    outcome: RolloutOutcome | None
    revision: int

    @property
    def is_open(self):
        """Return whether it has neither finished nor been taken back."""
        return self.outcome in (None, RolloutOutcome.RUNNING)

    def is_same(self, other):
        """Return whether this is another state of the same order."""
        return other is not None and (self.service, self.target) == (
            other.service,
            other.target,
        )
