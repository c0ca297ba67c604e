"""Greeting that both sides send first on a link."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name
from wharf_wire.limits import PROTOCOL_VERSION

__all__ = ["Hello"]


@dataclass(frozen=True, slots=True)
class Hello:
    """Identify the sender, its data centre and its configuration revision."""

    name: Name
    data_centre: Name
    revision: Count
    protocol: Literal[PROTOCOL_VERSION] = PROTOCOL_VERSION
    kind: Literal["hello"] = "hello"
