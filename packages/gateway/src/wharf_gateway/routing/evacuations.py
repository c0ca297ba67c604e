"""Data centres that operators have taken out of service."""

from dataclasses import dataclass

from wharf_gateway.restoration import GRACE_SECONDS

__all__ = ["Evacuations"]


@dataclass(slots=True)
class Evacuations:
    """The data centres that are out, by the store's listings and changes.

    One that a restored store lacks stays out for a grace of `GRACE_SECONDS`, in which
    the operator orders it again.

    >>> out = Evacuations()
    >>> out.replace({"dc-1"}, 10.0, float("-inf"))
    >>> out.replace(set(), 20.0, 20.0)
    >>> out.names
    frozenset({'dc-1'})
    >>> out.advance(25.0)
    >>> out.names
    frozenset()
    """

    stored: frozenset[str] = frozenset()
    kept: frozenset[str] = frozenset()
    kept_until: float = float("-inf")

    @property
    def names(self):
        """Return the names of all data centres that are out."""
        return self.stored | self.kept

    def replace(self, names, now, restored_at):
        """Apply a complete listing."""
        known, self.stored = self.names, frozenset(names)
        self.kept_until = restored_at + GRACE_SECONDS
        self.kept = known - self.stored if now < self.kept_until else frozenset()

    def update(self, added, gone):
        """Apply orders that were written or deleted."""
        self.stored = self.stored - gone | added
        self.kept -= gone

    def advance(self, now):
        """Bring back the data centres that nobody has taken out again in time."""
        if now >= self.kept_until:
            self.kept = frozenset()
