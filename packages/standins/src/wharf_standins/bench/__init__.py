"""Benchmark of routing policies: seeded load on real entries and sidecars."""

from wharf_standins.bench.command import bench

__all__ = ["bench"]
