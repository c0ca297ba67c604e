"""Priority classes of requests, most urgent first."""

from enum import IntEnum

__all__ = ["Priority"]


class Priority(IntEnum):
    """A priority class; a smaller number is served first."""

    URGENT = 0
    INTERACTIVE = 1
    STANDARD = 2
    PATIENT = 3

    @classmethod
    def from_name(cls, name):
        """Return the class called `name`; raise ValueError if there is none.

        >>> Priority.from_name("urgent").value
        0
        """
        try:
            return cls[name.upper()]
        except KeyError:
            expected = ", ".join(member.name.lower() for member in cls)
            raise ValueError(f"priority {name!r} is not one of {expected}") from None
