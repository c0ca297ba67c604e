"""How long callers of a route wait, and so how long one has waited already."""

from dataclasses import dataclass, field

__all__ = ["CallerPatience"]

# Differences below this share of the time are those of the way to the gateway.
NOTICEABLE_SHARE = 0.03


@dataclass(slots=True)
class CallerPatience:
    """The longest time left that a request of each route has told, in seconds.

    A caller that comes back after a refusal tells what is left of its time; the
    difference to the longest is what it has spent.
    """

    longest_by_route: dict[str, float] = field(default_factory=dict)

    def spent(self, route, seconds):
        """Return the seconds that a request with `seconds` left has spent before.

        >>> patience = CallerPatience()
        >>> patience.spent("a", 6.0), patience.spent("a", 5.9), patience.spent("a", 4.0)
        (0.0, 0.0, 2.0)
        """
        longest = max(seconds, self.longest_by_route.get(route, 0.0))
        self.longest_by_route[route] = longest
        spent = longest - seconds
        return spent if spent > longest * NOTICEABLE_SHARE else 0.0
