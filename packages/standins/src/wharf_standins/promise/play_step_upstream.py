"""An upstream that runs the pieces of steps in a play."""

import asyncio

from wharf_standins.promise.play_configuration import STEP_SERVICE
from wharf_standins.soak.step_upstream import StepUpstream

__all__ = ["PlayStepUpstream"]


class PlayStepUpstream(StepUpstream):
    """Run pieces at a fixed address, and fall silent now and then."""

    service = STEP_SERVICE

    def __init__(self, name, address, owner_by_result, rng):
        super().__init__(name, owner_by_result, call_seconds=0.05)
        self.address = address
        self._rng = rng

    async def start(self):
        """Listen at its address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def answer(self, reader, writer):
        """Answer one call."""
        if self._rng.random() < 0.15:
            await asyncio.sleep(self._rng.choice((0.3, 1.0, 1.9)))
        await super().answer(reader, writer)
