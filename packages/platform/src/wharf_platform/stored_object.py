"""An object read from or written to the platform's store."""

from dataclasses import dataclass

__all__ = ["ABSENT", "StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Key, version and value of one object.

    Version ABSENT (0) stands for an object that does not exist.
    """

    key: str
    version: int
    value: bytes

    @classmethod
    def absent(cls, key):
        """Return the placeholder for a `key` without an object."""
        return cls(key, ABSENT, b"")

    @property
    def exists(self):
        """Return whether the object exists."""
        return self.version != ABSENT


ABSENT = 0
