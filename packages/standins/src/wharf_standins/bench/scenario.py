"""The named scenarios of the bench."""

from dataclasses import dataclass

from wharf_standins.bench.fault import (
    Dying,
    Fault,
    HalfGone,
    SlowStage,
    TakenOut,
    TurnCold,
)

__all__ = ["SCENARIO_BY_NAME", "Scenario"]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load, as a share of the shape's capacity, and the faults under it."""

    name: str
    load: float = 0.7
    faults: tuple[Fault, ...] = ()


_SCENARIOS = (
    Scenario("steady-70"),
    Scenario("steady-100", 1.0),
    Scenario("steady-130", 1.3),
    Scenario("half-gone", faults=(HalfGone(),)),
    Scenario("slow-stage", faults=(SlowStage(),)),
    Scenario("turn-cold", faults=(TurnCold(),)),
    Scenario("dying", faults=(Dying(),)),
    Scenario("taken-out", faults=(TakenOut(),)),
    Scenario("taken-out-twice", faults=(TakenOut(2),)),
    Scenario("dying-130", 1.3, faults=(Dying(),)),
    Scenario("cold-and-out", faults=(TurnCold(), TakenOut())),
    Scenario("slow-and-dying", faults=(SlowStage(), Dying())),
)
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in _SCENARIOS}
