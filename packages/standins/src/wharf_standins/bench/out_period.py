"""Period in which a data centre was out of service."""

from dataclasses import dataclass

__all__ = ["OutPeriod"]

EFFECT_BOUND_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class OutPeriod:
    """Times, in seconds, when a data centre was taken out and brought back."""

    data_centre: str
    begin: float
    end: float

    def count_late_calls(self, upstreams):
        """Return the number of calls that began there after the bound."""
        return sum(
            self.begin + EFFECT_BOUND_SECONDS < begin < self.end
            for upstream in upstreams
            if upstream.data_centre == self.data_centre
            for begin in upstream.begin_times
        )
