"""Kinds of new versions that the trials roll out, by their fault."""

from dataclasses import dataclass

__all__ = [
    "KINDS",
    "BadLater",
    "BadOnRoute",
    "BadUnderLoad",
    "FailsAtOnce",
    "Good",
    "SlowAtOnce",
    "VersionKind",
    "is_bad_call",
]

FAILURE_RATE = 0.8
SLOWDOWN = 4.0


@dataclass(frozen=True, slots=True)
class Good:
    """Behaves like the old version."""


@dataclass(frozen=True, slots=True)
class FailsAtOnce:
    """Fails most of its calls."""


@dataclass(frozen=True, slots=True)
class SlowAtOnce:
    """Takes several times as long for each call."""


@dataclass(frozen=True, slots=True)
class BadLater:
    """Fails most of its calls after `fraction` of the rollout's deadline."""

    fraction: float = 0.3


@dataclass(frozen=True, slots=True)
class BadUnderLoad:
    """Is slow while at least `in_flight` calls run on its upstream."""

    in_flight: int = 4


@dataclass(frozen=True, slots=True)
class BadOnRoute:
    """Fails on the route with the number `route` only."""

    route: int = 3


VersionKind = Good | FailsAtOnce | SlowAtOnce | BadLater | BadUnderLoad | BadOnRoute

KINDS = {
    "good": Good(),
    "fails-at-once": FailsAtOnce(),
    "slow-at-once": SlowAtOnce(),
    "bad-later": BadLater(),
    "bad-under-load": BadUnderLoad(),
    "bad-on-route": BadOnRoute(),
}


def is_bad_call(kind: VersionKind, route, in_flight, elapsed_fraction):
    """Return whether the fault of the new version affects a call."""
    match kind:
        case Good():
            return False
        case FailsAtOnce() | SlowAtOnce():
            return True
        case BadLater(fraction):
            return elapsed_fraction >= fraction
        case BadUnderLoad(limit):
            return in_flight >= limit
        case BadOnRoute(bad_route):
            return route == bad_route
