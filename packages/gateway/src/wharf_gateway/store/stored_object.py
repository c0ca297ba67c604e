"""An object of the platform's store."""

from dataclasses import dataclass
from typing import Any

__all__ = ["StoredObject"]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Name, revision of the last change, and contents as decoded JSON."""

    name: str
    revision: int
    spec: Any = None
    status: Any = None
    is_deleted: bool = False
