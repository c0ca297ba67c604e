"""One process's share of a rate limit that several processes keep together."""

from dataclasses import dataclass

from wharf_coordination.rendezvous import subset

__all__ = ["RateShare", "rate_holders"]

MIN_HOLDERS = 2
# All holders together may send this many requests and those of a second at once.
BURST_REQUESTS = 3.0


def rate_holders(key, names, rate):
    """Return the names of the processes that share a limit of `rate` a second.

    A share of much less than one request a second is of little use, and since each
    process may send one request at any time, all of a large fleet together would send
    many at once. The fewer requests a limit allows, the fewer processes share it.

    >>> len(rate_holders("upstream-1", [f"host-{n}" for n in range(68)], 1.5))
    3
    """
    return subset(key, names, MIN_HOLDERS + int(rate))


@dataclass(slots=True)
class RateShare:
    """A token bucket of `rate` tokens a second that holds `burst` tokens at most.

    Requests may reserve tokens that are still to come, in the order in which they ask.
    In any `t` seconds it lets `burst + t * rate` requests pass at most, however often
    the rate is set. Times are in seconds.

    >>> share = RateShare(rate=2.0, updated_at=0.0)
    >>> share.reserve(now=0.5), share.reserve(now=0.5)
    (0.0, 0.5)
    """

    rate: float
    updated_at: float
    tokens: float = 0.0
    burst: float = 1.0

    def set_part(self, rate, holders, now):
        """Set the share to that of one of several equal holders of a limit.

        With no holders the share is nothing.
        """
        self._refill(now)
        self.rate = rate / holders if holders else 0.0
        self.burst = max(1.0, (BURST_REQUESTS + rate) / holders) if holders else 1.0
        self.tokens = min(self.burst, self.tokens)

    def wait(self, now):
        """Return the seconds until a token that nobody has reserved."""
        self._refill(now)
        missing = 1.0 - self.tokens
        if missing <= 0.0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def reserve(self, now):
        """Take the next token; return the seconds until it may be used."""
        seconds = self.wait(now)
        self.tokens -= 1.0
        return seconds

    def _refill(self, now):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
