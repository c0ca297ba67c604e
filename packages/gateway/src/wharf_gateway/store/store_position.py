"""A position in the history of the platform's store."""

from dataclasses import dataclass

__all__ = ["StorePosition"]


@dataclass(frozen=True, slots=True)
class StorePosition:
    """A revision, and the era of the store in which it was given out.

    Positions have no order, since a revision of one era says nothing about another
    era. `era` is None in a store without eras.
    """

    era: int | None
    revision: int

    def includes(self, other):
        """Return whether who is at this position knows all changes up to `other`.

        This is never known of a position of another era.

        >>> StorePosition(4, 9).includes(StorePosition(4, 7))
        True
        >>> StorePosition(5, 9).includes(StorePosition(4, 7))
        False
        """
        return self.era == other.era and self.revision >= other.revision
