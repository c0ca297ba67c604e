"""Named scenarios of the benchmark."""

from dataclasses import dataclass

from wharf_standins.bench.fault import (
    ColdUpstreams,
    DataCentreOut,
    Fault,
    HostLoss,
    RepeatedCrashes,
    SlowStage,
)

__all__ = ["SCENARIO_BY_NAME", "Scenario"]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load, as a share of the shape's capacity, and the faults to inject."""

    name: str
    load: float = 0.7
    faults: tuple[Fault, ...] = ()


_SCENARIOS = (
    Scenario("steady-70"),
    Scenario("steady-100", 1.0),
    Scenario("steady-130", 1.3),
    Scenario("half-gone", faults=(HostLoss(),)),
    Scenario("slow-stage", faults=(SlowStage(),)),
    Scenario("turn-cold", faults=(ColdUpstreams(),)),
    Scenario("dying", faults=(RepeatedCrashes(),)),
    Scenario("taken-out", faults=(DataCentreOut(),)),
    Scenario("taken-out-twice", faults=(DataCentreOut(2),)),
    Scenario("dying-130", 1.3, faults=(RepeatedCrashes(),)),
    Scenario("cold-and-out", faults=(ColdUpstreams(), DataCentreOut())),
    Scenario("slow-and-dying", faults=(SlowStage(), RepeatedCrashes())),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in _SCENARIOS}
