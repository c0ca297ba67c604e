"""The entry's notice that it no longer waits for an attempt."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Name

__all__ = ["Cancel"]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Ask the sidecar to stop work on an attempt."""

    attempt: Name
    kind: Literal["cancel"] = "cancel"
