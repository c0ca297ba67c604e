"""The bench: seeded load on real entries and sidecars under faults."""

from wharf_standins.bench.command import bench

__all__ = ["bench"]
