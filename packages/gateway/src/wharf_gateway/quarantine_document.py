"""A quarantine as it is kept in the platform's store."""

from typing import Annotated

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from wharf_coordination.quarantine import (
    LONGEST_SECONDS,
    Attribution,
    QuarantineEntry,
)

__all__ = ["QuarantineDocument", "QuarantineDocuments"]

UnixSeconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class QuarantineDocument:
    """A quarantine's reason, end and length; times are Unix times, in seconds."""

    crashes: Annotated[int, Field(ge=1)]
    first_at: UnixSeconds
    ends_at: UnixSeconds
    seconds: Annotated[float, Field(gt=0, le=LONGEST_SECONDS)]

    @classmethod
    def from_entry(cls, entry, now, unix_now):
        """Return the document of an entry whose times are of another clock."""
        shift = unix_now - now
        return cls(
            entry.attribution.crashes,
            entry.attribution.first_at + shift,
            entry.ends_at + shift,
            entry.seconds,
        )

    def to_entry(self, feature, now, unix_now):
        """Return the entry, in times of `now`'s clock.

        The hosts' Unix times may differ, so that the end is bounded by the length.
        """
        shift = now - unix_now
        attribution = Attribution(feature, self.crashes, self.first_at + shift)
        ends_at = min(self.ends_at + shift, now + self.seconds)
        return QuarantineEntry(attribution, ends_at, self.seconds)


QuarantineDocuments = TypeAdapter(QuarantineDocument)
