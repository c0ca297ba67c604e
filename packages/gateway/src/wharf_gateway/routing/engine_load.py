"""The work that an engine still has to do before it reads another prompt."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["EngineLoad"]

MAX_SENDS = 64  # that are remembered, to apply a later report of an earlier time
# Waiting requests that a report names take at least this share of the usual time.
WAITING_SHARE = 0.5
# A prompt takes at most this long, whatever number of tokens its caller names: 39,600
# tokens take 1.6 s, four times that on the slowest hosts.
MAX_SEND_SECONDS = 6.0
REPORT_SECONDS = 1.0  # numbers of requests change within a second


@dataclass(slots=True)
class EngineLoad:
    """Prompts that were sent to an engine and aren't read yet, by time.

    Prompts are read one after the other. Reports correct what isn't known.

    >>> load = EngineLoad()
    >>> load.record_send(10.0, 0.3)
    >>> load.record_send(10.1, 0.2)
    >>> round(load.wait(10.2), 3), load.wait(11.0)
    (0.3, 0.0)
    >>> load.record_report(10.15, 0, 0)
    >>> load.wait(10.2)
    0.0
    """

    reported_at: float = float("-inf")
    running: int = 0
    waiting: int = 0
    mean_seconds: float = 0.1
    _free_at: float = float("-inf")
    _sends: deque = field(default_factory=lambda: deque(maxlen=MAX_SENDS))

    def record_send(self, at, seconds):
        """Record a prompt that was sent at a time and takes `seconds` to read."""
        seconds = min(seconds, MAX_SEND_SECONDS)
        self.mean_seconds += 0.05 * (seconds - self.mean_seconds)
        self._free_at = max(self._free_at, at) + seconds
        self._sends.append((at, seconds))

    def record_report(self, at, running, waiting):
        """Record the numbers of requests that an engine reported at a time."""
        if at <= self.reported_at:
            return
        self.reported_at, self.running, self.waiting = at, running, waiting
        later = [send for send in self._sends if send[0] > at]
        free_at = self._free_at - sum(seconds for _, seconds in later)
        if not running and not waiting:
            free_at = at
        ahead = waiting * self.mean_seconds * WAITING_SHARE
        free_at = max(free_at, at + ahead) if waiting else free_at
        for sent_at, seconds in later:
            free_at = max(free_at, sent_at) + seconds
        self._free_at = free_at

    def wait(self, now):
        """Return the seconds until all prompts that are known have been read."""
        return max(0.0, self._free_at - now)

    def requests(self, now):
        """Return the number of requests by a recent report, else 0."""
        is_recent = now - self.reported_at <= REPORT_SECONDS
        return self.running + self.waiting if is_recent else 0
