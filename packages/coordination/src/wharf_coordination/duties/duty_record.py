"""The lease of a duty as it is stored."""

from dataclasses import dataclass
from typing import Any

__all__ = ["DutyRecord"]


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """The holder of a duty, its token and the duty's last decision.

    An empty `holder` means that the lease was released. `incarnation` identifies one
    life of the holder's process, `number` a write of that process.
    """

    holder: str = ""
    incarnation: str = ""
    token: int = 0
    number: int = 0
    decision: Any = None
