"""How the death of an upstream was observed."""

from enum import StrEnum

__all__ = ["DeathKind"]


class DeathKind(StrEnum):
    """A crash is observed by the engine's sidecar, a lost link only by an entry.

    A lost link may be due to the death of the whole host or to a network fault, so
    it is weaker evidence.
    """

    CRASH = "crash"
    LOSS = "loss"
