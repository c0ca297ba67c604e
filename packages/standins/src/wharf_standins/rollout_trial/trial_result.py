"""Result of one trial of a rollout."""

from dataclasses import dataclass

__all__ = ["TrialResult"]


@dataclass(slots=True)
class TrialResult:
    """Outcome of a rollout and counts of its calls; times are in seconds.

    `new_calls_before_veto` and `new_calls_late` count calls to the new version, the
    latter those that began after the time allowed for a veto to take effect.
    """

    kind: str
    seed: int
    outcome: str = "running"
    reason: str = ""
    ended_at: float = 0.0
    first_bad_call_at: float | None = None
    vetoed_at: float | None = None
    calls_before_veto: int = 0
    new_calls_before_veto: int = 0
    new_calls_late: int = 0

    @property
    def share_before_veto(self):
        """Return the new version's share of all calls until it was vetoed."""
        return self.new_calls_before_veto / max(1, self.calls_before_veto)
