"""Faults of a run and their schedule."""

from dataclasses import dataclass
from random import Random

__all__ = ["PLANNED_KINDS", "Fault", "schedule"]

GATEWAY_KINDS = ("stop", "hup", "kill", "pause")
STORE_KINDS = ("down", "slow", "lost", "silent", "forget", "configure")
LINK_KINDS = ("delay", "mute", "one_way", "reset", "leave")
PLANNED_KINDS = frozenset(("stop", "hup", "configure", "leave"))
MAX_FAULT_SECONDS = 1.5


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """A fault that begins `at` seconds after the start and lasts `seconds`.

    `target` modulo the number of gateways or upstreams selects the one it affects.
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

    Every third seed has planned operations only.

    >>> schedule(1, 6.0) == schedule(1, 6.0)
    True
    >>> all(fault.is_planned for fault in schedule(3, 6.0))
    True
    """
    rng = Random(seed)
    kinds = (*GATEWAY_KINDS, *STORE_KINDS, *LINK_KINDS)
    if seed % 3 == 0:
        kinds = sorted(PLANNED_KINDS)
    return sorted(
        Fault(
            rng.uniform(0.2, seconds),
            rng.choice(kinds),
            rng.randrange(1000),
            rng.uniform(0.2, MAX_FAULT_SECONDS),
        )
        for _ in range(rng.randint(2, 5))
    )
