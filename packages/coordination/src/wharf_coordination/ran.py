"""Whether work that was refused or failed may have run."""

from enum import StrEnum

__all__ = ["Ran"]


class Ran(StrEnum):
    """Whether an upstream has run any part of the work.

    `NO` is guaranteed: it is used only if nothing was sent, or if the receiver
    refused the work before starting it.
    """

    NO = "no"
    UNKNOWN = "unknown"

    def join(self, other):
        """Return the weaker of the two guarantees.

        >>> Ran.NO.join(Ran.UNKNOWN).value
        'unknown'
        """
        return Ran.NO if self is other is Ran.NO else Ran.UNKNOWN
