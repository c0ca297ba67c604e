"""Writes of claims on behalf of entries."""

import time
from random import Random

from result import Err, Ok

from wharf_platform import ObjectClient, Unavailable
from wharf_platform.claims import ClaimStore
from wharf_wire import ClaimReply, ClaimRequest
from wharf_wire.claim_reply import NOT_WRITTEN

__all__ = ["ClaimWriter"]


class ClaimWriter:
    """Apply claim operations of many entries in shared commits."""

    def __init__(self, client: ObjectClient, rng: Random, wall_clock=time.time):
        self._store = ClaimStore(client, rng, wall_clock=wall_clock)
        client.eras.subscribe(self._store.eras.observe)

    async def handle(self, request: ClaimRequest) -> ClaimReply | None:
        """Apply `request` and return the reply.

        None means that the write may have happened; the entry then checks itself.
        """
        operation = request.to_operation()
        match await self._store.apply(request.place, operation):
            case Ok(outcome):
                return ClaimReply.from_outcome(request.id, outcome)
            case Err(Unavailable()):
                return ClaimReply(request.id, NOT_WRITTEN)
            case Err(_):
                return None
