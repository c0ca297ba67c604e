"""An object as the platform's store returned it."""

from dataclasses import dataclass

__all__ = ["ABSENT", "StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """The bytes of one object and the store's version of them.

    Version 0 stands for an object that does not exist.
    """

    key: str
    version: int
    value: bytes

    @classmethod
    def absent(cls, key):
        """Return the state of a key that holds no object."""
        return cls(key, ABSENT, b"")

    @property
    def exists(self):
        """Return whether the key holds an object."""
        return self.version != ABSENT


ABSENT = 0
