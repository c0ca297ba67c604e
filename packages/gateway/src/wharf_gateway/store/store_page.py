"""A page of a listing."""

from dataclasses import dataclass

from wharf_gateway.store.store_position import StorePosition
from wharf_gateway.store.stored_object import StoredObject

__all__ = ["StorePage"]


@dataclass(frozen=True, slots=True)
class StorePage:
    """Objects, whether more pages follow, and the position at which they were read.

    `faults` describe the entries that couldn't be read. Such an entry has no contents,
    or is left out if its name is unknown.
    """

    objects: tuple[StoredObject, ...]
    has_more: bool
    position: StorePosition
    faults: tuple[str, ...] = ()
