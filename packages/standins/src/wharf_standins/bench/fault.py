"""Faults that a scenario brings about."""

from dataclasses import dataclass

__all__ = [
    "Dying",
    "Fault",
    "HalfGone",
    "SlowStage",
    "TakenOut",
    "TurnCold",
]


@dataclass(frozen=True, slots=True)
class HalfGone:
    """Every second upstream of each pool goes at a third of the time."""


@dataclass(frozen=True, slots=True)
class SlowStage:
    """All upstreams of a pool slow down by `factor` at a third of the time."""

    pool: str = "rerank"
    factor: float = 10.0


@dataclass(frozen=True, slots=True)
class TurnCold:
    """Half the upstreams of each pool turn cold without a sign, one by one."""


@dataclass(frozen=True, slots=True)
class Dying:
    """One upstream dies each second."""


@dataclass(frozen=True, slots=True)
class TakenOut:
    """A data centre is taken out and brought back, `times` times in a row."""

    times: int = 1


Fault = HalfGone | SlowStage | TurnCold | Dying | TakenOut
