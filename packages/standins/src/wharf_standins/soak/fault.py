"""Faults of a run and their schedule."""

from dataclasses import dataclass
from random import Random

__all__ = [
    "CONFIGURATION_KINDS",
    "LINK_KINDS",
    "MAX_TARGET",
    "PLANNED_KINDS",
    "Fault",
    "schedule",
]

GATEWAY_KINDS = ("stop", "hup", "kill", "pause")
STORE_KINDS = ("down", "slow", "lost", "silent", "forget", "configure")
LINK_KINDS = ("delay", "mute", "one_way", "reset", "leave")
CONFIGURATION_KINDS = frozenset(("configure", "route", "timeout", "idle"))
PLANNED_KINDS = frozenset(("stop", "stops", "hup", "leave")) | CONFIGURATION_KINDS
MAX_FAULT_SECONDS = 1.5
MIN_AWAY_SECONDS, MAX_AWAY_SECONDS = 0.05, 0.8
MAX_TARGET = 1000


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """A fault that begins `at` seconds after the start and lasts `seconds`.

    `target` modulo the number of gateways or upstreams selects the one it affects.
    Stops of all gateways begin `seconds` after one another. A store that is restored
    comes back after `seconds` from a copy, whose age `target` selects. An upstream may
    say only in its answers that it leaves, or be quiet for `seconds` and one more.
    """

    at: float
    kind: str
    target: int
    seconds: float

    @property
    def is_planned(self):
        """Return whether operators do this on purpose; no request may fail by it."""
        return self.kind in PLANNED_KINDS

    def __str__(self):
        return f"{self.at:.2f} s {self.kind} {self.target} for {self.seconds:.2f} s"


def schedule(seed, seconds):
    """Return the faults of a seed in order of time.

    Every third seed has planned operations only, the next one a store that is
    restored from a copy.

    >>> schedule(1, 6.0) == schedule(1, 6.0)
    True
    >>> all(fault.is_planned for fault in schedule(3, 6.0))
    True
    """
    return sorted((*_single_faults(seed, seconds), *_series(seed, seconds)))


def _single_faults(seed, seconds):
    rng = Random(seed)
    kinds = (*GATEWAY_KINDS, *STORE_KINDS, *LINK_KINDS)
    if seed % 3 == 0:
        kinds = ("configure", "hup", "leave", "stop")
    return [
        _fault(rng, rng.uniform(0.2, seconds), rng.choice(kinds))
        for _ in range(rng.randint(2, 5))
    ]


def _series(seed, seconds):
    """Return faults that overlap, by a generator of their own."""
    rng = Random(f"series {seed}")
    match seed % 3:
        case 0:
            return _planned_series(rng, seconds)
        case 1:
            return _restorations(rng, seconds)
        case _:
            words = Random(f"words {seed}")
            return [
                _fault(rng, rng.uniform(0.2, seconds), "route"),
                _fault(words, words.uniform(0.2, seconds / 2), "say_leaving"),
                _fault(words, words.uniform(0.2, seconds), "quiet"),
            ]


def _planned_series(rng, seconds):
    kinds = ["hup", *rng.choices(sorted(CONFIGURATION_KINDS), k=3)]
    return [
        _fault(rng, rng.uniform(0.2, seconds / 2), rng.choice(("stop", "stops"))),
        *(_fault(rng, rng.uniform(0.2, seconds), kind) for kind in kinds),
    ]


def _restorations(rng, seconds):
    """Return one or two restorations after changes, beside a fault of a gateway."""
    first = rng.uniform(0.4 * seconds, 0.7 * seconds)
    times = [first, first + rng.uniform(0.3, 3.0)][: rng.randint(1, 2)]
    changes = [("route", rng.uniform(0.2, first)) for _ in range(2)]
    changes.append(("leave", rng.uniform(0.2, first)))
    changes.append(("route", times[-1] + rng.uniform(0.5, 3.0)))
    partner = rng.choice(("pause", "kill", "stop", "route"))
    return [
        *(_restoration(rng, at) for at in times),
        *(_fault(rng, at, kind) for kind, at in changes),
        _fault(rng, max(0.2, first + rng.uniform(-1.0, 1.0)), partner),
    ]


def _restoration(rng, at):
    away_seconds = rng.uniform(MIN_AWAY_SECONDS, MAX_AWAY_SECONDS)
    return Fault(at, "restored", rng.randrange(MAX_TARGET), away_seconds)


def _fault(rng, at, kind):
    return Fault(
        at, kind, rng.randrange(MAX_TARGET), rng.uniform(0.2, MAX_FAULT_SECONDS)
    )
