"""Permit of one call to run on an upstream."""

from dataclasses import dataclass

from wharf_coordination.warm_up import WarmUp

__all__ = ["Permit"]


@dataclass(frozen=True, slots=True, eq=False)
class Permit:
    """Permit of a call of `kind` that was admitted at `begin`, in seconds.

    `warm_up` is the warm-up in progress at that time, or None if the upstream was
    warm.
    """

    id: int
    kind: str
    begin: float
    warm_up: WarmUp | None
