"""Concurrency limit of one upstream, owned by the sidecar beside it."""

from dataclasses import dataclass

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal

__all__ = ["Gate"]


@dataclass(slots=True)
class Gate:
    """Admit at most `limit` calls at a time to one upstream."""

    cold_limit: int
    max_limit: int
    limit: int = 0
    in_flight: int = 0
    incarnation: str = ""

    def __post_init__(self):
        self.limit = self.limit or self.cold_limit

    def enter(self, now) -> Result[None, Refusal]:
        """Admit a call or refuse it as not run."""
        if self.in_flight >= self.limit:
            detail = f"{self.in_flight} calls run under a limit of {self.limit}"
            return Err(Refusal.not_run(Code.UPSTREAM_FULL, detail))
        self.in_flight += 1
        return Ok(None)

    def leave(self, service_time, succeeded, now):
        """Count a call as ended after `service_time` seconds."""
        self.in_flight -= 1
        if succeeded and self.limit < self.max_limit:
            self.limit += 1

    def observe_incarnation(self, incarnation, now):
        """Fall back to the cold limit when the engine was started anew."""
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.limit = self.cold_limit
