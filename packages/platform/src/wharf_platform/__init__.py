"""Client of the platform's object API, and models of the objects stored there."""

from wharf_platform.call_kind import CallKind
from wharf_platform.call_limiter import CallLimiter
from wharf_platform.conditional_update import Change, ConditionalUpdate
from wharf_platform.lease_manager import (
    ORDERS_SUBJECT,
    LeaseManager,
    lease_key,
    read_lease,
)
from wharf_platform.object_client import ObjectClient
from wharf_platform.platform_host import PlatformHost
from wharf_platform.rollout_change import RolloutChange, find_rollout
from wharf_platform.store_error import (
    Conflict,
    StoreError,
    Unavailable,
    UnknownOutcome,
)
from wharf_platform.stored_object import ABSENT, StoredObject

__all__ = [
    "ABSENT",
    "ORDERS_SUBJECT",
    "CallLimiter",
    "CallKind",
    "Change",
    "ConditionalUpdate",
    "Conflict",
    "LeaseManager",
    "ObjectClient",
    "PlatformHost",
    "RolloutChange",
    "StoreError",
    "StoredObject",
    "Unavailable",
    "UnknownOutcome",
    "find_rollout",
    "lease_key",
    "read_lease",
]
