"""What the head of an upstream's response says of it."""

from dataclasses import dataclass

__all__ = ["ResponseDetails"]


@dataclass(frozen=True, slots=True)
class ResponseDetails:
    """Identity and fate of a response.

    `not_run` is the upstream's own word that the request has not run and won't;
    `is_signed` that it made the response; `idle_seconds` how long it keeps the
    connection; `running` and `waiting` its load.
    """

    call_id: str | None
    not_run: bool
    is_signed: bool
    idle_seconds: float | None
    running: int | None = None
    waiting: int | None = None
