"""Why a change of the configuration was not made."""

from dataclasses import dataclass

__all__ = ["ChangeRefused", "Invalid", "Superseded"]


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another writer has published `revision` since this change was begun."""

    revision: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The changed configuration would have a fault."""

    place: str
    expected: str


ChangeRefused = Superseded | Invalid
