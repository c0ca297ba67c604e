"""Randomized faults against real gateways on loopback, checked from outside."""

from wharf_standins.soak.command import soak

__all__ = ["soak"]
