"""Exit codes of wharfctl."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FAULTY = 2
    REFUSED = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6
