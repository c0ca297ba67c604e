"""Reasons for which a change of the configuration is refused."""

from dataclasses import dataclass

__all__ = ["ChangeRefused", "Invalid", "Superseded"]


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another writer has published `revision`, which this change is not based on."""

    revision: int


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change, or the configuration that it would produce, is invalid."""

    place: str
    expected: str


ChangeRefused = Superseded | Invalid
