"""Changes of one kind of objects."""

from dataclasses import dataclass

from wharf_gateway.store.store_position import StorePosition
from wharf_gateway.store.stored_object import StoredObject

__all__ = ["StoreChanges"]


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changed objects, and the position from which to continue the watch.

    `faults` describe the objects that couldn't be read, which have no contents.
    """

    objects: tuple[StoredObject, ...]
    position: StorePosition
    faults: tuple[str, ...] = ()
