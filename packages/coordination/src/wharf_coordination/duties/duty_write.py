"""A conditional write of a duty's lease."""

from dataclasses import dataclass
from typing import Any

from wharf_coordination.duties.duty_record import DutyRecord

__all__ = ["DutyWrite"]


@dataclass(frozen=True, slots=True)
class DutyWrite:
    """A record to write if the stored one is still at `version`.

    `sent_at` is in seconds of the writer's clock.
    """

    record: DutyRecord
    version: Any
    sent_at: float
