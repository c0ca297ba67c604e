"""Tells slow streams from stalled ones."""

from dataclasses import dataclass

__all__ = ["EventPace"]

# A stream may pause for this multiple of its longest pause so far.
PACE_FACTOR = 4.0


@dataclass(slots=True)
class EventPace:
    """The pauses between the events of a stream, in seconds of the event loop.

    A stream is stalled once it has sent no whole event for `allowed` seconds, or for
    several times its own longest pause if that is more. Bytes that complete no event
    don't count, since an upstream that hangs may go on sending some.

    >>> pace = EventPace(allowed=1.0, last_at=10.0)
    >>> pace.stalled_at
    11.0
    >>> pace.record(10.5, 10.5)
    >>> pace.stalled_at
    12.5

    `blocked` are the seconds in which the caller took what had been received.
    """

    allowed: float
    last_at: float
    longest: float = 0.0
    blocked: float = 0.0

    def record(self, received_at, passed_on_at):
        """Record an event, and when the caller had taken it."""
        self.longest = max(self.longest, received_at - self.last_at)
        self.last_at = passed_on_at
        self.blocked += passed_on_at - received_at

    def begin_anew(self, now):
        """Count the silence from now on."""
        self.last_at = now

    @property
    def stalled_at(self):
        """Return the time from which on the stream is stalled."""
        return self.last_at + max(self.allowed, PACE_FACTOR * self.longest)
