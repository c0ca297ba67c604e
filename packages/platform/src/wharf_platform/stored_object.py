"""An object read from or written to the platform's store."""

from dataclasses import dataclass, field

__all__ = ["ABSENT", "StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Key, version and value of one object.

    `era` counts how often the store had come back from a copy when it was read; None
    if the store doesn't say. Versions of different eras are unrelated.

    Version ABSENT (0) stands for an object that does not exist.
    """

    key: str
    version: int
    value: bytes
    era: int | None = field(default=None, compare=False)

    @classmethod
    def absent(cls, key, era=None):
        """Return the placeholder for a `key` without an object."""
        return cls(key, ABSENT, b"", era)

    @property
    def exists(self):
        """Return whether the object exists."""
        return self.version != ABSENT


ABSENT = 0
