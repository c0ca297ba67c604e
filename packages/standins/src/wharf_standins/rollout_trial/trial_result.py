"""What one trial of a rollout has shown."""

from dataclasses import dataclass

__all__ = ["TrialResult"]


@dataclass(slots=True)
class TrialResult:
    """Counts of calls, and the outcome with its times in seconds."""

    kind: str
    seed: int
    outcome: str = "running"
    reason: str = ""
    ended_at: float = 0.0
    shown_at: float | None = None
    vetoed_at: float | None = None
    calls_before_veto: int = 0
    new_calls_before_veto: int = 0
    new_calls_late: int = 0

    @property
    def share_before_veto(self):
        """Return the new version's share of all calls until it was vetoed."""
        return self.new_calls_before_veto / max(1, self.calls_before_veto)
