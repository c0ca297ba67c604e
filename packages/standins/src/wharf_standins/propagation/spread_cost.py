"""What it costs to put one configuration in force everywhere."""

from dataclasses import dataclass

__all__ = ["SpreadCost"]


@dataclass(frozen=True, slots=True)
class SpreadCost:
    """Cost of one change; the last two say what one dead relay costs.

    `lost` processes do not get the change through a relay that died, and get it
    `repair_seconds` later.
    """

    messages: float
    bytes: float
    store_answers: int
    seconds: float
    lost: int
    repair_seconds: float
