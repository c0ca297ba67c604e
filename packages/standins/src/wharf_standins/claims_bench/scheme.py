"""Schemes of storing and writing claims."""

from dataclasses import dataclass

__all__ = ["GroupCommit", "ObjectPerKey", "PreferredWriter", "Scheme"]


@dataclass(frozen=True, slots=True)
class ObjectPerKey:
    """Each claim has an object of its own."""

    def __str__(self):
        return "object per key"


@dataclass(frozen=True, slots=True)
class GroupCommit:
    """Every entry writes all shards, each at most once per `interval` seconds."""

    interval: float

    def __str__(self):
        return f"group commit {self.interval * 1000:.0f} ms"


@dataclass(frozen=True, slots=True)
class PreferredWriter:
    """Each shard has one writing entry, `hop` seconds away from the others."""

    interval: float
    hop: float = 0.001

    def __str__(self):
        return f"preferred writer {self.interval * 1000:.0f} ms"


Scheme = ObjectPerKey | GroupCommit | PreferredWriter
