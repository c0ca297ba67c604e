"""Exit codes of wharfctl."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How a command ended; 1 is left to errors that no command expects.

    An argument that can't be parsed also ends with 2.
    """

    OK = 0
    FAULTY = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6

    @property
    def label(self):
        """Return the name as `--json` output shows it."""
        return self.name.lower()
