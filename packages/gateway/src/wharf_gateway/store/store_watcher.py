"""Watching all objects of one kind in the platform's store."""

import asyncio

import structlog
from result import Err, Ok

from wharf_coordination.backoff import Backoff
from wharf_gateway.store.store_error import HistoryGone

__all__ = ["StoreWatcher"]

log = structlog.get_logger(__name__)

# Longest wait of a watch without changes; the store allows 30 s. Each renewal costs a
# call, and TCP keepalive detects a dead connection sooner.
WATCH_SECONDS = 25.0
# Delay of the next watch after a change, so that changes in quick succession cost one
# call. Shorter than a call of a step (0.2 s), since pieces may be waiting for capacity.
COALESCE_SECONDS = 0.15
MAX_RETRY_SECONDS = 1.0  # between calls while the store is unavailable
START_POLL_SECONDS = 0.1
RETRY_BACKOFF = Backoff(first=0.1, longest=MAX_RETRY_SECONDS)


class StoreWatcher:
    """List the objects of a kind and watch their changes, also across store outages.

    `on_listing(objects, now)` is called with all objects, `on_changes(objects, now)`
    with the changed ones. With `coalesces`, the watch after a change is delayed, so
    that it returns several changes at once. `unavailable_since` is the time of the
    first failed call of an outage, None while the store answers; `recovered_at` is the
    time at which the last outage ended. All watchers of a process share an `outage`.
    While a feeder of `feed` vouches for this gateway's revision, the store isn't
    called.
    """

    def __init__(
        self,
        store,
        kind,
        on_listing,
        on_changes,
        outage,
        clock,
        rng,
        *,
        coalesces=False,
        feed=None,
    ):
        self._store = store
        self.kind = kind
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._clock = clock
        self._rng = rng
        self._outage = outage
        self._gathers = coalesces
        self._feed = feed
        if feed is not None:
            feed.watcher_by_kind[kind] = self
        self._has_changed = False
        self.revision = None
        self.unavailable_since = None
        self.recovered_at = None

    async def run(self):
        """List and watch until cancelled."""
        failures = 0
        while True:
            answer = await self._next()
            match answer:
                case Ok(_):
                    failures = 0
                case Err(HistoryGone()):
                    log.info("store_history_gone", kind=self.kind)
                    self.revision = None
                case Err(error):
                    # List again: a watch from the old revision may miss changes if
                    # the store is dropping the history after it.
                    self.revision = None
                    self._record_failure(error)
                    failures += 1
                    seconds = RETRY_BACKOFF.delay(failures, self._rng)
                    await self._outage.wait_turn(self.kind, seconds)

    async def _next(self):
        if self.revision is None:
            answer = await self._store.list(self.kind)
            return answer.map(self._apply_listing)
        if self._has_changed and self._gathers:
            await asyncio.sleep(COALESCE_SECONDS)
        if self._feed is not None and await self._follow_feed():
            # The store may have dropped the history since this revision.
            self.revision = None
            return Ok(None)
        answer = await self._store.watch(self.kind, self.revision, WATCH_SECONDS)
        return answer.map(self._apply_changes)

    async def _follow_feed(self):
        """Wait while a feeder vouches for this revision; return whether it waited."""
        has_waited = False
        while self._feed.is_starting(self._clock()):
            await asyncio.sleep(START_POLL_SECONDS)
            has_waited = True
        if self._feed.covers(self.kind, self.revision, self._clock()):
            await self._feed.wait_uncovered(self.kind)
            await asyncio.sleep(COALESCE_SECONDS)
            has_waited = True
        return has_waited

    def _apply_listing(self, listing):
        objects, self.revision = listing
        self._record_answer()
        self._on_listing(objects, self._clock())

    def _apply_changes(self, changes):
        self._record_answer()
        self._has_changed = bool(changes.objects)
        since = self.revision
        self._advance_to(changes.revision, changes.objects, self._clock())
        if self._feed is not None:
            self._feed.publish(self.kind, since, changes.revision, changes.objects)

    def apply_news(self, since, revision, objects, now):
        """Apply the changes that a feeder saw after the revision `since`.

        They are of no use if this watcher lacks some before them.
        """
        if self.revision is not None and since <= self.revision:
            self._advance_to(revision, objects, now)

    @property
    def is_watching(self):
        """Return whether all changes are known up to `revision`."""
        return self.revision is not None and self.unavailable_since is None

    def _advance_to(self, revision, objects, now):
        """Apply changes up to a revision, unless they are known already.

        News and an own watch may return the same changes, in any order.
        """
        if revision <= self.revision:
            return
        known, self.revision = self.revision, revision
        objects = tuple(
            changed
            for changed in objects
            if changed.is_deleted or changed.revision > known
        )
        if objects:
            self._on_changes(objects, now)

    def _record_failure(self, error):
        if self.unavailable_since is None:
            self.unavailable_since = self._clock()
            log.warning("store_lost", kind=self.kind, detail=error.detail)

    def _record_answer(self):
        self._outage.record_answer(self.kind)
        if self.unavailable_since is not None:
            now = self._clock()
            seconds = round(now - self.unavailable_since, 3)
            log.info("store_regained", kind=self.kind, away_seconds=seconds)
            self.unavailable_since, self.recovered_at = None, now
