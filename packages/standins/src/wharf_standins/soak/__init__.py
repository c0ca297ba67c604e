"""Random fault injection against gateway processes on loopback."""

from wharf_standins.soak.command import soak

__all__ = ["soak"]
