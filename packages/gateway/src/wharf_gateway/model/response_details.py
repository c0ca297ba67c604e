"""Details of an upstream's response from its headers."""

from dataclasses import dataclass

__all__ = ["ResponseDetails"]


@dataclass(frozen=True, slots=True)
class ResponseDetails:
    """Details of a response.

    `call_id` is the ID of the request that it answers, if given. `not_run` says that
    the upstream has not run the request and won't, `is_signed` that the upstream itself
    made the response. `idle_seconds` is the idle timeout of the connection; `running`
    and `waiting` are the upstream's numbers of calls. `host_pace` is how long work
    takes on its host at this moment, relative to the usual time, None if it doesn't
    say so. `rate_limit` is the number of requests a second that it takes from all
    gateways together. `leaving` and
    `retry_after` are the texts of what it says of itself, unread, None if it says
    nothing; several values are separated by commas.
    """

    call_id: str | None
    not_run: bool
    is_signed: bool
    idle_seconds: float | None
    running: int | None = None
    waiting: int | None = None
    rate_limit: float | None = None
    leaving: str | None = None
    retry_after: str | None = None
    host_pace: float | None = None

    @property
    def has_self_report(self):
        """Return whether the upstream says something of itself."""
        return self.leaving is not None or self.retry_after is not None
