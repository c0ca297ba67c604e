"""A feature whose requests are not sent to upstreams."""

from dataclasses import dataclass

from wharf_coordination.quarantine.attribution import Attribution

__all__ = ["QuarantineEntry"]


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """The reason for a quarantine, its end and its length, in seconds.

    After its end the feature is on probation: its requests are tried one by one.
    """

    attribution: Attribution
    ends_at: float
    seconds: float
