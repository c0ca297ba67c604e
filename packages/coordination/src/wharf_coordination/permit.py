"""The right of one call to run on an upstream."""

from dataclasses import dataclass

from wharf_coordination.warm_up import WarmUp

__all__ = ["Permit"]


@dataclass(frozen=True, slots=True, eq=False)
class Permit:
    """A call of `kind` admitted at `begin`, in seconds.

    `warm_up` is the warm-up under way at that time, or None when it was warm.
    """

    id: int
    kind: str
    begin: float
    warm_up: WarmUp | None
