"""Numbered parts of an attempt's answer."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from wharf_wire.fields import Body, Count, Name
from wharf_wire.limits import MAX_PARTS_PER_CHUNK

__all__ = ["Chunk"]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carry the part with number `sequence`, counted from 0, and those after it."""

    attempt: Name
    sequence: Count
    body: Body
    more: Annotated[tuple[Body, ...], Field(max_length=MAX_PARTS_PER_CHUNK - 1)] = ()
    kind: Literal["chunk"] = "chunk"

    @property
    def bodies(self) -> tuple[bytes, ...]:
        """Return all parts in their order."""
        return self.body, *self.more
