"""What is known about whether refused work was run."""

from enum import StrEnum

__all__ = ["Ran"]


class Ran(StrEnum):
    """Whether an upstream has run any part of the work.

    `NO` is a promise: it is used only when nothing was sent, or when the side
    that would have run the work refused it before the start.
    """

    NO = "no"
    UNKNOWN = "unknown"

    def join(self, other):
        """Return the weaker claim of the two.

        >>> Ran.NO.join(Ran.UNKNOWN).value
        'unknown'
        """
        return Ran.NO if self is other is Ran.NO else Ran.UNKNOWN
