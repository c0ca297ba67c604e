"""Validation error of a settings or configuration file."""

from dataclasses import dataclass

from wharf_platform.configuration.location import Location

__all__ = ["Fault"]


@dataclass(frozen=True, slots=True)
class Fault:
    """Location of an error (file, line and key) and what was expected."""

    file: str
    place: str
    expected: str

    @classmethod
    def at(cls, location: Location, keys, expected):
        """Return the fault of the value at the path `keys`.

        >>> str(Fault.at(Location("a.json", 3), ("pools", "x"), "expected a name"))
        'a.json: line 3: pools.x: expected a name'
        """
        key = ".".join(str(part) for part in keys)
        return cls(location.file, f"line {location.line}: {key}", expected)

    def __str__(self):
        return f"{self.file}: {self.place}: {self.expected}"
