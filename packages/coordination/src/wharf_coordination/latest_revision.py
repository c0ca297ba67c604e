"""Value that is only replaced by one of a higher revision."""

from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["LatestRevision"]

T = TypeVar("T")


@dataclass(slots=True)
class LatestRevision(Generic[T]):
    """Keep the value with the highest revision offered so far.

    Offers may arrive late, repeated or out of order; the result is the same.
    """

    revision: int = 0
    value: T | None = None

    def offer(self, revision, value):
        """Store `value` if its revision is higher; return whether it was.

        >>> latest = LatestRevision()
        >>> latest.offer(2, "b"), latest.offer(1, "a"), latest.value
        (True, False, 'b')
        """
        if revision <= self.revision:
            return False
        self.revision = revision
        self.value = value
        return True
