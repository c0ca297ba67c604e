"""Ways in which an upstream can be seen to die."""

from enum import StrEnum

__all__ = ["DeathKind"]


class DeathKind(StrEnum):
    """A crash is seen by the sidecar beside the engine; a loss by an entry only.

    A lost link may be the death of the whole host or a fault of the network, so
    it is the weaker evidence.
    """

    CRASH = "crash"
    LOSS = "loss"
