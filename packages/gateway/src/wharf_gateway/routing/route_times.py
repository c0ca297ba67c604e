"""How long the requests of each route take."""

from dataclasses import dataclass, field

from wharf_coordination.duration_estimate import DurationEstimate

__all__ = ["RouteTimes"]

# Of normally distributed times one in twenty exceeds the mean by this many deviations.
DEVIATIONS = 2.0
# Of a route without answered requests.
DEFAULT_SECONDS = 2.5
DEFAULT_UPSTREAM_SECONDS = 0.5


@dataclass(slots=True)
class RouteTimes:
    """Estimate from answered requests how long the next one of a route takes.

    Requests are timed from the end of their body to the end of their answer, upstreams
    from the sending of the request, without what callers take to read.
    """

    _request_by_route: dict[str, DurationEstimate] = field(default_factory=dict)
    _upstream_by_route: dict[str, DurationEstimate] = field(default_factory=dict)

    def record(self, route_name, request_seconds, upstream_seconds):
        """Add the times of an answered request."""
        _add(self._request_by_route, route_name, request_seconds)
        _add(self._upstream_by_route, route_name, upstream_seconds)

    def request_seconds(self, route_name):
        """Return the seconds that a request of the route usually takes."""
        estimate = self._request_by_route.get(route_name)
        return DEFAULT_SECONDS if estimate is None else estimate.mean

    def upstream_seconds(self, route_name):
        """Return the seconds that an upstream hardly exceeds for such a request."""
        estimate = self._upstream_by_route.get(route_name)
        if estimate is None:
            return DEFAULT_UPSTREAM_SECONDS
        return estimate.upper(DEVIATIONS)

    def retain(self, route_names):
        """Forget the routes that the configuration no longer has."""
        for by_route in (self._request_by_route, self._upstream_by_route):
            for name in by_route.keys() - route_names:
                del by_route[name]


def _add(by_route, name, seconds):
    estimate = by_route.get(name)
    if estimate is None:
        by_route[name] = DurationEstimate.first(seconds)
    else:
        estimate.add(seconds)
