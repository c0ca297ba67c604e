"""One stage of one request, ready to be run."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wharf_daemon.entry.request import Request
from wharf_platform.configuration import Stage

__all__ = ["StageTask"]


@dataclass(frozen=True, slots=True)
class StageTask:
    """The stage, its input, and where the chunks of a stream go.

    `fingerprint` recognises this stage of the request, whatever its key.
    """

    request: Request
    stage: Stage
    body: bytes
    on_chunks: Callable[[list[bytes]], Awaitable[None]] | None = None
    fingerprint: str = ""

    @property
    def streaming(self):
        """Return whether the answer goes to the caller in chunks."""
        return self.on_chunks is not None
