"""An emulated sidecar that writes claims, and the links to it."""

import asyncio

from wharf_daemon.sidecar.claim_writer import ClaimWriter
from wharf_standins.claims_trial.store_view import StoreView
from wharf_wire import Load, decode, encode

__all__ = ["TrialLink", "TrialSidecar"]

HOP_SECONDS = 0.001


class TrialSidecar:
    """The claims of a sidecar."""

    def __init__(self, store, process):
        self.process = process
        view = StoreView(store, process)
        self.writer = ClaimWriter(view, process.rng, process.wall_clock)


class TrialLink:
    """A link of an entry to the sidecar that `sidecar_by_name` has at the time."""

    load = Load(
        in_flight=0, limit=1, service_time=0.0, leaving=False, version="", revision=0
    )

    def __init__(self, entry_process, replies, sidecar_by_name, name):
        self._entry_process = entry_process
        self._replies = replies
        self._sidecar_by_name = sidecar_by_name
        self._name = name

    @property
    def is_open(self):
        """Return whether calls can be sent."""
        return True

    async def send(self, message):
        """Send `message`; its reply is passed on once it comes."""
        sidecar = self._sidecar_by_name[self._name]
        sidecar.process.start(self._serve(sidecar, encode(message)))

    async def _serve(self, sidecar, frame):
        await asyncio.sleep(HOP_SECONDS)
        await sidecar.process.resumed()
        reply = await sidecar.writer.handle(decode(frame).unwrap())
        await sidecar.process.resumed()
        await asyncio.sleep(HOP_SECONDS)
        if reply is not None:
            self._entry_process.start(self._pass_on(decode(encode(reply)).unwrap()))

    async def _pass_on(self, reply):
        await self._entry_process.resumed()
        self._replies.resolve(reply)
