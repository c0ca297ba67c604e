"""Receiver of a stream's chunks that outlives its caller."""

__all__ = ["DetachableSink"]


class DetachableSink:
    """Forward chunks until detached and drop them afterwards."""

    def __init__(self, on_chunks):
        self._on_chunks = on_chunks

    def detach(self):
        """Stop forwarding."""
        self._on_chunks = None

    async def send(self, bodies):
        """Forward chunks; detach the caller if its connection fails."""
        if self._on_chunks is None:
            return
        try:
            await self._on_chunks(bodies)
        except OSError:
            self.detach()
