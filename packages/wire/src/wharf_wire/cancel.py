"""Cancellation of an attempt, from an entry to a sidecar."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Name

__all__ = ["Cancel"]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Request the sidecar to stop an attempt."""

    attempt: Name
    kind: Literal["cancel"] = "cancel"
