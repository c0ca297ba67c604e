"""A caller's request as the entry runs it."""

from dataclasses import dataclass

from wharf_coordination import Deadline, Priority

__all__ = ["Request"]


@dataclass(frozen=True, slots=True)
class Request:
    """A validated request; `key` is the caller's idempotency key, if any."""

    id: str
    pipeline: str
    customer: str
    priority: Priority
    deadline: Deadline
    key: str | None
    streaming: bool
    body: bytes
