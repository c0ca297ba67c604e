"""Exit codes of wharfctl."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Result of a command; 1 is reserved for unexpected errors.

    The argument parser also exits with 2.
    """

    OK = 0
    FAULTY = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6

    @property
    def label(self):
        """Return the name shown in `--json` output."""
        return self.name.lower()
