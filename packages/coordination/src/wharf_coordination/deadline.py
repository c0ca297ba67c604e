"""A point in a process's own monotonic time by which work must end."""

from dataclasses import dataclass

__all__ = ["Deadline"]


@dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A deadline in seconds of the local monotonic clock.

    Clock readings of two processes can't be compared, so what travels between
    processes is the duration that is left.
    """

    at: float

    @classmethod
    def after(cls, duration, now):
        """Return the deadline `duration` seconds after `now`."""
        return cls(now + duration)

    def left(self, now):
        """Return the seconds that are left, never negative.

        >>> Deadline.after(2.0, now=10.0).left(now=11.5)
        0.5
        """
        return max(0.0, self.at - now)

    def is_past(self, now):
        """Return whether no time is left."""
        return now >= self.at
