"""Errors of values that do not fit the rest of the configuration."""

from dataclasses import dataclass

__all__ = ["ReferenceFault", "InvalidReferencesError"]


@dataclass(frozen=True, slots=True)
class ReferenceFault:
    """The value at `path` does not fit the rest of the configuration."""

    path: tuple
    expected: str

    def __str__(self):
        return f"{'.'.join(str(key) for key in self.path)}: {self.expected}"


class InvalidReferencesError(ValueError):
    """Error with the ReferenceFaults of one configuration, in `errors`."""

    def __init__(self, errors):
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors
