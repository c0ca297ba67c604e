"""Faults that a scenario injects."""

from dataclasses import dataclass

__all__ = [
    "ColdUpstreams",
    "DataCentreOut",
    "Fault",
    "HostLoss",
    "RepeatedCrashes",
    "SlowStage",
]


@dataclass(frozen=True, slots=True)
class HostLoss:
    """Every second host of each pool fails after a third of the time."""


@dataclass(frozen=True, slots=True)
class SlowStage:
    """All upstreams of a pool slow down by `factor` after a third of the time."""

    pool: str = "rerank"
    factor: float = 10.0


@dataclass(frozen=True, slots=True)
class ColdUpstreams:
    """Half of the upstreams of each pool turn cold one by one, without a restart."""


@dataclass(frozen=True, slots=True)
class RepeatedCrashes:
    """A random upstream crashes each second."""


@dataclass(frozen=True, slots=True)
class DataCentreOut:
    """A data centre is taken out of service and brought back, `times` times."""

    times: int = 1


Fault = HostLoss | SlowStage | ColdUpstreams | RepeatedCrashes | DataCentreOut
