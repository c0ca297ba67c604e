"""A request as its caller sent it."""

from dataclasses import dataclass

__all__ = ["Sent"]


@dataclass(frozen=True, slots=True)
class Sent:
    """One sending of a request; resends share the `key` and the `input`.

    `input` differs for each request, so that a run or an answer can be matched
    with it. `at` is in seconds.
    """

    number: int
    pipeline: str
    entry: str
    input: str
    at: float
    key: str = ""
    streaming: bool = False
