"""Where the chunks of a stream go, also after the caller has left."""

__all__ = ["DetachableSink"]


class DetachableSink:
    """Pass chunks on until detached; drop them afterwards."""

    def __init__(self, on_chunks):
        self._on_chunks = on_chunks

    def detach(self):
        """Pass nothing on from now."""
        self._on_chunks = None

    async def send(self, bodies):
        """Pass chunks on; a caller that can't be reached is detached."""
        if self._on_chunks is None:
            return
        try:
            await self._on_chunks(bodies)
        except OSError:
            self.detach()
