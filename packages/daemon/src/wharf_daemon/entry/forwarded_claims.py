"""Claims that are written by the sidecar preferred for their shard."""

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
    """Send each operation to one writer per shard, so that commits are shared.

    The writers are the sidecars of the upstreams whose stages may not repeat.
    Safety does not rest on who writes: without a writer, or without its reply,
    this entry writes itself, and the claimant's token shows what was done.
    """

    def __init__(
        self, client: ObjectClient, rng: Random, links, feed, replies: PendingReplies
    ):
        super().__init__(client, rng)
        self._links = links
        self._feed = feed
        self._replies = replies

    async def apply(
        self, place: ClaimPlace, operation: ClaimOperation
    ) -> Result[ClaimOutcome, StoreError]:
        """Return what `operation` came to at its place."""
        link = self._writer_link(place)
        if link is None:
            return await super().apply(place, operation)
        request = ClaimRequest.of(self._replies.next_id(), place, operation)
        reply = await self._replies.ask(link, request, REPLY_TIMEOUT_SECONDS)
        if reply is None:
            return self._after_silence(place, await super().apply(place, operation))
        outcome = reply.to_outcome()
        if outcome is None:
            # The writer alone may be cut off from the store.
            return await super().apply(place, operation)
        return Ok(outcome)

    def _after_silence(self, place, applied):
        if isinstance(applied.err(), Unavailable):
            return Err(UnknownOutcome(shard_key(place), "no reply of the writer"))
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
