"""Cost of propagating one configuration to all processes."""

from dataclasses import dataclass

__all__ = ["SpreadCost"]


@dataclass(frozen=True, slots=True)
class SpreadCost:
    """Cost of one change, and the effect of one failed relay.

    `lost` processes do not receive the change through the failed relay, and
    receive it `repair_seconds` later.
    """

    messages: float
    bytes: float
    store_answers: int
    seconds: float
    lost: int
    repair_seconds: float
