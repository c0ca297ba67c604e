"""State of a rollout."""

from enum import StrEnum

__all__ = ["RolloutOutcome"]


class RolloutOutcome(StrEnum):
    """The state of a rollout; all but `RUNNING` are terminal."""

    RUNNING = "running"
    FINISHED = "finished"
    TAKEN_BACK = "taken back"
