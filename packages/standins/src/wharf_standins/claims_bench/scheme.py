"""Ways to lay claims out in the store and to write them."""

from dataclasses import dataclass

__all__ = ["GroupCommit", "ObjectPerKey", "PreferredWriter", "Scheme"]


@dataclass(frozen=True, slots=True)
class ObjectPerKey:
    """One object for each claim."""

    def __str__(self):
        return "object per key"


@dataclass(frozen=True, slots=True)
class GroupCommit:
    """Shards that every entry writes, each at most once in `interval` seconds."""

    interval: float

    def __str__(self):
        return f"group commit {self.interval * 1000:.0f} ms"


@dataclass(frozen=True, slots=True)
class PreferredWriter:
    """Shards that one entry writes for all, `hop` seconds away."""

    interval: float
    hop: float = 0.001

    def __str__(self):
        return f"preferred writer {self.interval * 1000:.0f} ms"


Scheme = ObjectPerKey | GroupCommit | PreferredWriter
