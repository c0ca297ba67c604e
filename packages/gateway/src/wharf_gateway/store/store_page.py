"""A page of a listing."""

from dataclasses import dataclass

from wharf_gateway.store.stored_object import StoredObject

__all__ = ["StorePage"]


@dataclass(frozen=True, slots=True)
class StorePage:
    """Objects, whether more pages follow, and the revision of the store."""

    objects: tuple[StoredObject, ...]
    has_more: bool
    revision: int
