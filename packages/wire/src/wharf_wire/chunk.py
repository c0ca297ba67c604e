"""Numbered parts of an attempt's answer, from a sidecar to an entry."""

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from wharf_wire.fields import Body, Count, Name
from wharf_wire.limits import MAX_PARTS_PER_CHUNK

__all__ = ["Chunk"]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carry consecutive parts; `sequence` is the first one's number, from 0."""

    attempt: Name
    sequence: Count
    body: Body
    more: Annotated[tuple[Body, ...], Field(max_length=MAX_PARTS_PER_CHUNK - 1)] = ()
    kind: Literal["chunk"] = "chunk"

    @property
    def bodies(self) -> tuple[bytes, ...]:
        """Return all parts in order."""
        return self.body, *self.more
