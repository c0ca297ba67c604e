"""Claim store that forwards writes to one sidecar per shard."""

import time
from random import Random

from result import Err, Ok, Result

from wharf_coordination import ranked
from wharf_coordination.claims import ClaimOperation, ClaimOutcome, ClaimPlace
from wharf_daemon.entry.pending_replies import PendingReplies
from wharf_platform import ObjectClient, StoreError, Unavailable, UnknownOutcome
from wharf_platform.claims import ClaimStore
from wharf_platform.claims.claim_keys import shard_key
from wharf_wire import ClaimRequest

__all__ = ["ForwardedClaims"]

REPLY_TIMEOUT_SECONDS = 1.0


class ForwardedClaims(ClaimStore):
    """Forward each operation to the writer of its shard, which batches commits.

    The writers are the sidecars of upstreams that run non-idempotent stages.
    Correctness does not depend on who writes: without a writer or its reply, this
    entry writes to the store itself, and the claimant's token shows whether the
    writer's commit was applied.
    """

    def __init__(
        self,
        client: ObjectClient,
        rng: Random,
        links,
        feed,
        replies: PendingReplies,
        wall_clock=time.time,
    ):
        super().__init__(client, rng, wall_clock=wall_clock)
        self._links = links
        self._feed = feed
        self._replies = replies

    async def apply(
        self, place: ClaimPlace, operation: ClaimOperation
    ) -> Result[ClaimOutcome, StoreError]:
        """Apply `operation` and return its outcome."""
        link = self._writer_link(place)
        if link is None:
            return await super().apply(place, operation)
        request = ClaimRequest.from_operation(self._replies.next_id(), place, operation)
        reply = await self._replies.request(link, request, REPLY_TIMEOUT_SECONDS)
        if reply is None:
            return self._after_lost_reply(place, await super().apply(place, operation))
        outcome = reply.to_outcome()
        if outcome is None:
            # The writer can't reach the store, but this entry may.
            return await super().apply(place, operation)
        return Ok(outcome)

    def _after_lost_reply(self, place, applied):
        if isinstance(applied.err(), Unavailable):
            return Err(UnknownOutcome(shard_key(place), "no reply from the writer"))
        return applied

    def _writer_link(self, place):
        document = self._feed.document
        pools = self._pools()
        address_by_name = {
            name: upstream.address
            for name, upstream in document.folder.upstreams.items()
            if upstream.pool in pools
            and upstream.data_centre not in document.out_data_centres
        }
        for name in ranked(place.shard, address_by_name):
            link = self._links.by_address.get(address_by_name[name])
            if link and link.is_open and not link.load.leaving:
                return link
        return None

    def _pools(self):
        pipelines = self._feed.document.folder.pipelines.values()
        return {
            stage.pool
            for pipeline in pipelines
            for stage in pipeline.stages
            if not stage.idempotent
        }
