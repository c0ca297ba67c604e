"""Size of the fleet to which a configuration propagates."""

from dataclasses import dataclass

__all__ = ["FleetSize"]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of entries, of sidecars, and of the sidecars linked to each entry."""

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
