"""Size of a fleet over which a configuration spreads."""

from dataclasses import dataclass

__all__ = ["FleetSize"]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Entries, sidecars, and the sidecars that each entry is linked to."""

    entries: int
    sidecars: int
    links_per_entry: int

    @property
    def processes(self):
        """Return the number of processes that need the configuration."""
        return self.entries + self.sidecars

    @property
    def links_per_sidecar(self):
        """Return the mean number of entries that are linked to a sidecar."""
        return self.entries * self.links_per_entry / self.sidecars
