"""What one incarnation of an upstream says of itself in its answers."""

from dataclasses import dataclass

__all__ = ["LAST_RESORT_SECONDS", "SelfReport"]

# A leaving upstream serves for two seconds. If a service has no other one, requests are
# sent there for half of that.
LAST_RESORT_SECONDS = 1.0
# The end of a quiet period differs between gateways by this share of it, at most by
# `MAX_SPREAD_SECONDS`.
SPREAD_SHARE = 0.25
MAX_SPREAD_SECONDS = 1.0
# After a quiet period the second request follows the first after `FIRST_GAP_SECONDS`,
# in which a full upstream says so again. Each gap is half the one before.
FIRST_GAP_SECONDS = 0.2
RETURN_STEPS = 6
NEWS_SECONDS = 1.0  # a quiet period that grows by less isn't logged again


@dataclass(slots=True, eq=False)
class SelfReport:
    """The word of an upstream that it leaves, or that it wants no requests for a time.

    Times are those of the event loop, in seconds. `leaving_since` is None until the
    upstream says that it leaves, which holds to the end of its incarnation. It wants no
    requests from `quiet_since` to `quiet_until`, which allows for the spread of the
    gateways. `leaving_by` and `quiet_by` name the answer that said so. Nothing is sent
    before `next_at`. `has_unreadable` says that a value could not be read. The store
    says since `drains_since` that it drains, None if it doesn't.

    >>> report = SelfReport()
    >>> report.record_quiet(2.0, 0.0, "answer", now=10.0)
    True
    >>> report.wait(11.5), report.wait(12.0)
    (0.5, 0.0)
    """

    leaving_since: float | None = None
    leaving_by: str = ""
    quiet_since: float = 0.0
    quiet_until: float = float("-inf")
    quiet_by: str = ""
    next_at: float = float("-inf")
    has_unreadable: bool = False
    drains_since: float | None = None
    _returned: int = RETURN_STEPS  # requests since the last quiet period

    @property
    def is_leaving(self):
        """Return whether the upstream has said that it leaves."""
        return self.leaving_since is not None

    def is_last_resort(self, now):
        """Return whether the upstream has said just now that it leaves."""
        return self.is_leaving and now < self.leaving_since + LAST_RESORT_SECONDS

    def is_quiet(self, now):
        """Return whether the upstream wants no requests."""
        return now < self.quiet_until

    def takes_requests(self, now):
        """Return whether a request that was chosen for the upstream may be sent."""
        if self.is_quiet(now):
            return False
        return not self.is_leaving or self.is_last_resort(now)

    def record_entry(self, is_draining, now):
        """Record whether the upstream's entry in the store says that it drains."""
        if not is_draining:
            self.drains_since = None
        elif self.drains_since is None:
            self.drains_since = now

    def record_leaving(self, by, now):
        """Record that the upstream leaves; return whether this is news."""
        if self.is_leaving:
            return False
        self.leaving_since, self.leaving_by = now, by
        return True

    def record_quiet(self, seconds, spread, by, now):
        """Record that the upstream wants no requests; return whether this is news.

        `spread` is between 0 and 1. An earlier word for a longer time holds.
        """
        spread_seconds = min(seconds * SPREAD_SHARE, MAX_SPREAD_SECONDS)
        until = now + seconds + spread * spread_seconds
        if until <= max(now, self.quiet_until):
            return False
        is_news = not self.is_quiet(now) or until - self.quiet_until > NEWS_SECONDS
        if not self.is_quiet(now):
            self.quiet_since, self.quiet_by = now, by
        self.quiet_until = self.next_at = until
        self._returned = 0
        return is_news

    def wait(self, now):
        """Return the seconds until a request that nobody has reserved may be sent."""
        return max(0.0, self.next_at - now)

    def reserve(self, now):
        """Use up the next request; return the seconds until it may be sent."""
        if self.next_at <= now and self._returned >= RETURN_STEPS:
            return 0.0
        at = max(now, self.next_at)
        self.next_at = at + FIRST_GAP_SECONDS / 2**self._returned
        self._returned = min(self._returned + 1, RETURN_STEPS)
        return at - now

    def dump(self, now):
        """Return what holds at present, since when and by whose word, for operators."""
        if self.is_leaving:
            since, by = self.leaving_since, self.leaving_by
            return {"says": "leaving", "seconds": round(now - since, 3), "by": by}
        if self.is_quiet(now) and self.drains_since is None:
            return {
                "says": "quiet",
                "seconds": round(now - self.quiet_since, 3),
                "seconds_left": round(self.quiet_until - now, 3),
                "by": self.quiet_by,
            }
        if self.drains_since is not None:
            seconds = round(now - self.drains_since, 3)
            return {"says": "draining", "seconds": seconds, "by": "entry in the store"}
        return None
