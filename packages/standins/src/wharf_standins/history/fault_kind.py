"""Kinds of faults that are injected into a recorded run."""

from enum import StrEnum
from itertools import combinations

__all__ = ["FaultKind", "faults_of_seed"]


class FaultKind(StrEnum):
    """A fault, or a change by operators, during a recorded run."""

    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    ENTRY_KILLED = "entry-killed"
    ENTRY_STOPPED = "entry-stopped"
    SIDECAR_KILLED = "sidecar-killed"
    UPSTREAM_LEAVES = "upstream-leaves"
    UPSTREAM_CRASHED = "upstream-crashed"
    UPSTREAM_SLOWED = "upstream-slowed"
    UPSTREAM_COLD = "upstream-cold"
    LINK_CUT = "link-cut"
    OPERATORS_RACE = "operators-race"
    DATA_CENTRE_OUT = "data-centre-out"
    BAD_VERSION = "bad-version"
    RESENDS = "resends"


FAULT_SETS = [
    *((kind,) for kind in FaultKind),
    *combinations(FaultKind, 2),
]


def faults_of_seed(seed):
    """Return the faults of a seed: each kind alone, then each pair, cyclically.

    >>> [kind.value for kind in faults_of_seed(1)]
    ['store-down']
    """
    return FAULT_SETS[(seed - 1) % len(FAULT_SETS)]
