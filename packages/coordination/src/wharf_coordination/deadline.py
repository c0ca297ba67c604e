"""Deadline on the monotonic clock of one process."""

from dataclasses import dataclass

__all__ = ["Deadline"]


@dataclass(frozen=True, slots=True, order=True)
class Deadline:
    """A deadline in seconds of the local monotonic clock.

    Monotonic clocks of different processes can't be compared, so processes send
    each other the remaining duration instead.
    """

    at: float

    @classmethod
    def after(cls, duration, now):
        """Return the deadline `duration` seconds after `now`."""
        return cls(now + duration)

    def left(self, now):
        """Return the remaining seconds, at least 0.

        >>> Deadline.after(2.0, now=10.0).left(now=11.5)
        0.5
        """
        return max(0.0, self.at - now)

    def is_past(self, now):
        """Return whether the deadline has passed."""
        return now >= self.at
