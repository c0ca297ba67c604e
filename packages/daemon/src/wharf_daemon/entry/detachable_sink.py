"""Where the chunks of a stream go, also after the caller has left."""

__all__ = ["DetachableSink"]


class DetachableSink:
    """Pass chunks on until detached; drop them afterwards."""

    def __init__(self, on_chunk):
        self._on_chunk = on_chunk

    def detach(self):
        """Pass nothing on from now."""
        self._on_chunk = None

    async def send(self, body):
        """Pass a chunk on; a caller that can't be reached is detached."""
        if self._on_chunk is None:
            return
        try:
            await self._on_chunk(body)
        except OSError:
            self.detach()
