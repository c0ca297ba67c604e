"""A time in which a data centre was out."""

from dataclasses import dataclass

__all__ = ["OutPeriod"]

IN_FORCE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OutPeriod:
    """From the acceptance of the taking out to the bringing back, in seconds."""

    data_centre: str
    begin: float
    end: float

    def late_begins(self, upstreams):
        """Return the number of calls begun there after the bound."""
        return sum(
            self.begin + IN_FORCE_SECONDS < begin < self.end
            for upstream in upstreams
            if upstream.data_centre == self.data_centre
            for begin in upstream.begins
        )
