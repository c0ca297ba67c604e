"""Kinds of objects in the platform's store."""

from enum import StrEnum

__all__ = ["StoreKind"]


class StoreKind(StrEnum):
    """What the gateway reads there."""

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    EVACUATIONS = "evacuations"
    ROLLOUTS = "rollouts"
    ENTRIES = "entries"
