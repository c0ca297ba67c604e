"""A request as its caller sent it."""

from dataclasses import dataclass

__all__ = ["SentRequest"]


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One call; calls that resend a request share the `key` and the `input`.

    `input` is unique to the request, so that runs and answers can be matched
    with it. `at` is in seconds.
    """

    number: int
    pipeline: str
    entry: str
    input: str
    at: float
    key: str = ""
    streaming: bool = False
