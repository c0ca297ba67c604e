"""One stage of a request with its input."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wharf_daemon.entry.request import Request
from wharf_platform.configuration import Stage

__all__ = ["StageTask"]


@dataclass(frozen=True, slots=True)
class StageTask:
    """A stage of a request, its input and the handler of a stream's chunks.

    `fingerprint` identifies this stage of the request; it doesn't depend on the
    idempotency key.
    """

    request: Request
    stage: Stage
    body: bytes
    on_chunks: Callable[[list[bytes]], Awaitable[None]] | None = None
    fingerprint: str = ""

    @property
    def streaming(self):
        """Return whether the answer is streamed to the caller."""
        return self.on_chunks is not None
