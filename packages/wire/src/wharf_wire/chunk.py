"""A numbered part of an attempt's answer."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Body, Count, Name

__all__ = ["Chunk"]


@dataclass(frozen=True, slots=True)
class Chunk:
    """Carry the part with number `sequence`, counted from 0."""

    attempt: Name
    sequence: Count
    body: Body
    kind: Literal["chunk"] = "chunk"
