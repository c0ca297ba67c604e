"""References within the configuration that lead nowhere."""

from dataclasses import dataclass

__all__ = ["ReferenceFault", "InvalidReferencesError"]


@dataclass(frozen=True, slots=True)
class ReferenceFault:
    """The value under a path of keys doesn't fit the rest of the configuration."""

    path: tuple
    expected: str

    def __str__(self):
        return f"{'.'.join(str(key) for key in self.path)}: {self.expected}"


class InvalidReferencesError(ValueError):
    """All such errors of one configuration, in `errors`."""

    def __init__(self, errors):
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = errors
