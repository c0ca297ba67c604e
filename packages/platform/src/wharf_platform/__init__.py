"""Client of the platform's object API and the models of what it keeps."""

from wharf_platform.conditional_update import Change, ConditionalUpdate
from wharf_platform.object_client import ObjectClient
from wharf_platform.store_error import (
    Conflict,
    StoreError,
    Unavailable,
    UnknownOutcome,
)
from wharf_platform.stored_object import ABSENT, StoredObject

__all__ = [
    "ABSENT",
    "Change",
    "ConditionalUpdate",
    "Conflict",
    "ObjectClient",
    "StoreError",
    "StoredObject",
    "Unavailable",
    "UnknownOutcome",
]
