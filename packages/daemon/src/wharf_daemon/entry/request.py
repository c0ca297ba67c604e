"""A caller's validated request."""

from dataclasses import dataclass

from wharf_coordination import Deadline, Priority, request_fingerprint

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

    @property
    def fingerprint(self):
        """Return a hash of the request that doesn't depend on its id or key."""
        return request_fingerprint(self.pipeline, self.customer, self.body)
