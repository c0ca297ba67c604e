"""Estimates of when an upstream began to run a request."""

__all__ = ["RunTimes"]

# Waiting at an upstream only adds to the time of a run, so that the estimate follows
# short times quickly and long ones slowly.
SHORTER_WEIGHT = 0.3
LONGER_WEIGHT = 0.02


class RunTimes:
    """Learn how long the runs of each route take, without waiting."""

    def __init__(self):
        self._seconds_by_route = {}

    def began_at(self, route_name, sent_at, answered_at):
        """Return when the run of an answered request began; learn from it.

        >>> times = RunTimes()
        >>> times.began_at("r", sent_at=1.0, answered_at=1.5)
        1.0
        >>> round(times.began_at("r", sent_at=2.0, answered_at=3.0), 2)
        2.49
        """
        seconds = answered_at - sent_at
        usual = self._seconds_by_route.get(route_name, seconds)
        weight = SHORTER_WEIGHT if seconds < usual else LONGER_WEIGHT
        usual += weight * (seconds - usual)
        self._seconds_by_route[route_name] = usual
        return max(sent_at, answered_at - usual)
