"""Watching all objects of one kind in the platform's store."""

import asyncio
from collections import Counter

import structlog
from result import Err, Ok

from wharf_coordination.backoff import Backoff
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_error import HistoryGone
from wharf_gateway.store.store_kind import StoreKind
from wharf_gateway.store.watch_check import CHECK_SECONDS, WatchCheck

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
# Changes of these kinds have no bound, and others change often.
SLOW_CHECK_SECONDS = 5.0
SLOWLY_CHECKED = frozenset((StoreKind.ENTRIES, StoreKind.QUARANTINES))
MAX_LOGGED_FAULTS = 20  # of one answer; the store holds hundreds of entries
RETRY_BACKOFF = Backoff(first=0.1, longest=MAX_RETRY_SECONDS)
# After a restoration of the store, calls that are under way may still be answered for
# this long. Then all gateways list all kinds, at a quarter of the rate that the store
# allows, since watchers that have lost it call as well.
ANSWER_SECONDS = 0.05
LISTINGS_PER_SECOND = 500.0


class StoreWatcher:
    """List the objects of a kind and watch their changes, also across store outages.

    `on_listing(objects, now)` is called with all objects, `on_changes(objects, now)`
    with the changed ones. With `coalesces`, the watch after a change is delayed, so
    that it returns several changes at once. `unavailable_since` is the time of the
    first failed call of an outage, None while the store answers; `recovered_at` is the
    time at which the last outage ended, or at which a restoration of the store was
    noticed. `unreadable_count` counts entries that couldn't be read, again at each
    listing. `changed_position` is one at or after the last change that was seen.
    `check_counts` counts the checks of watches by result. All watchers of a process
    share an `outage` and the `eras` of the store, and list anew when a later era
    begins. While a feeder of `feed` vouches for this gateway's position, the store
    isn't called.
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
        eras=None,
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
        self._eras = eras or StoreEras()
        self._eras.callbacks.append(self._on_restoration)
        self._has_changed = False
        self._scope = None
        self.position = None
        self._revision_by_name = {}
        self.unavailable_since = None
        self.recovered_at = None
        self.unreadable_count = 0
        self.changed_position = None
        self.check_counts = Counter()
        is_slow = kind in SLOWLY_CHECKED
        self._check = WatchCheck(SLOW_CHECK_SECONDS if is_slow else CHECK_SECONDS)
        self._check_wanted = None

    async def run(self):
        """List and watch until cancelled."""
        while True:
            try:
                # Its deadline is the time at which to list anew, whatever is awaited.
                async with asyncio.timeout(None) as scope:
                    self._scope = scope
                    await self._list_and_watch()
            except TimeoutError:
                self.position = None
            finally:
                if self._scope is scope:
                    self._scope = None

    def list_anew(self, now):
        """List all objects again soon, instead of what is being waited for.

        Gateways do so at different times, so that the store can answer all.
        """
        if self._scope is None or self._scope.when() is not None:
            return
        gateways = self._feed.gateway_count() if self._feed is not None else 1
        spread = gateways * len(StoreKind) / LISTINGS_PER_SECOND
        delay = ANSWER_SECONDS + self._rng.uniform(0.0, spread)
        self._scope.reschedule(now + delay)

    def _on_restoration(self, now):
        self.recovered_at = now
        self.list_anew(now)

    async def _list_and_watch(self):
        failures = 0
        while True:
            answer = await self._next()
            match answer:
                case Ok(_):
                    failures = 0
                case Err(HistoryGone()):
                    log.info("store_history_gone", kind=self.kind)
                    self.position = None
                case Err(error):
                    # List again: a watch from the old revision may miss changes if
                    # the store is dropping the history after it.
                    self.position = None
                    self._record_failure(error)
                    failures += 1
                    seconds = RETRY_BACKOFF.delay(failures, self._rng)
                    await self._outage.wait_turn(self.kind, seconds)

    async def _next(self):
        if self.position is None:
            self._scope.reschedule(None)
            answer = await self._store.list(self.kind, self._check_page)
            return answer.map(self._apply_listing)
        if self._has_changed and self._gathers:
            await asyncio.sleep(COALESCE_SECONDS)
        if self._feed is not None and await self._follow_feed():
            # The store may have dropped the history since this revision.
            self.position = None
            return Ok(None)
        answer = await self._watch()
        return answer.and_then(self._apply_changes)

    async def _watch(self):
        """Return the answer of a watch, or of a check that shows what it has missed.

        The connection of the watch may go silent for good while others work.
        """
        revision = self.position.revision
        call = asyncio.ensure_future(
            self._store.watch(self.kind, revision, WATCH_SECONDS)
        )
        self._check.start()
        try:
            while True:
                self._check_wanted = asyncio.get_running_loop().create_future()
                await asyncio.wait(
                    (call, self._check_wanted), return_when=asyncio.FIRST_COMPLETED
                )
                answer = call.result() if call.done() else await self._compare()
                if answer is not None:
                    return answer
        finally:
            self._check_wanted = None
            call.cancel()

    def check_behind(self, told, now):
        """Check the watch if the store is at one of `told` and it hasn't shown that."""
        wanted = self._check_wanted
        if wanted is None or wanted.done() or self.position is None:
            return
        if self._check.is_due(self.position, told, now):
            wanted.set_result(None)

    async def _compare(self):
        """Ask for what the watch has missed; return None if the watch goes on."""
        answer = await self._store.watch(self.kind, self.position.revision, 0.0)
        now = self._clock()
        match answer:
            case Ok(changes) if not changes.objects and self._is_same_era(changes):
                self.check_counts["current"] += 1
                self._check.record_current(changes.position, now)
                return None
            case Ok(_) | Err(HistoryGone()):
                self.check_counts["missed"] += 1
                log.warning("store_watch_silent", kind=self.kind)
                self._check.record_missed(now)
                return answer
            case Err(error):
                self.check_counts["failed"] += 1
                log.info("store_check_failed", kind=self.kind, detail=error.detail)
                return answer if self._check.record_failure(now) else None

    def _is_same_era(self, changes):
        return changes.position.era == self.position.era

    async def _follow_feed(self):
        """Wait while a feeder vouches for this position; return whether it waited."""
        has_waited = False
        while self._feed.is_starting(self._clock()):
            await asyncio.sleep(START_POLL_SECONDS)
            has_waited = True
        if self._feed.covers(self.kind, self.position, self._clock()):
            await self._feed.wait_uncovered(self.kind)
            await asyncio.sleep(COALESCE_SECONDS)
            has_waited = True
        return has_waited

    def _check_page(self, page):
        """Go on with a listing that was under way when its era was noticed."""
        if self._eras.is_newest(page.position.era):
            self._scope.reschedule(None)

    def _apply_listing(self, listing):
        self.position = listing.position
        self._revision_by_name = {o.name: o.revision for o in listing.objects}
        self.changed_position = listing.position
        self._record_answer()
        self._record_faults(listing.faults)
        self._on_listing(listing.objects, self._clock())

    def _apply_changes(self, changes):
        self._record_answer()
        self._record_faults(changes.faults)
        since, position = self.position, changes.position
        if position.era != since.era:
            return Err(HistoryGone())
        self._has_changed = bool(changes.objects)
        self._advance_to(position, changes.objects, self._clock())
        if self._feed is not None:
            self._feed.publish(self.kind, since, position, changes.objects)
        return Ok(None)

    def apply_news(self, since, position, objects, now):
        """Apply the changes that a feeder saw after the position `since`.

        They are of no use if this watcher lacks some before them, or if the store has
        begun another era.
        """
        if self.is_in_newest_era and self.position.includes(since):
            self._advance_to(position, objects, now)

    @property
    def is_watching(self):
        """Return whether all changes are known up to `position`."""
        return self.is_in_newest_era and self.unavailable_since is None

    @property
    def is_in_newest_era(self):
        """Return whether the objects were listed in the newest known era."""
        return self.position is not None and self._eras.is_newest(self.position.era)

    def _advance_to(self, position, objects, now):
        """Apply changes up to a position, unless they are known already.

        News and an own watch may return the same changes, in any order.
        """
        known = self.position
        if known.includes(position):
            return
        self.position = position
        changes = tuple(c for c in objects if self._is_news(c, known.revision))
        if changes:
            self.changed_position = position
            self._on_changes(changes, now)

    def _is_news(self, changed, known_revision):
        """Return whether a change isn't known yet, and record it.

        A removal may have the revision of the object's last change. It is old if the
        object has been created again since.
        """
        if changed.is_deleted:
            revision = self._revision_by_name.get(changed.name)
            if revision is None or changed.revision < revision:
                return False
            del self._revision_by_name[changed.name]
            return True
        if changed.revision <= known_revision:
            return False
        self._revision_by_name[changed.name] = changed.revision
        return True

    def _record_failure(self, error):
        if self.unavailable_since is None:
            self.unavailable_since = self._clock()
            log.warning("store_lost", kind=self.kind, detail=error.detail)

    def _record_faults(self, faults):
        self.unreadable_count += len(faults)
        for fault in faults[:MAX_LOGGED_FAULTS]:
            log.warning("store_entry_unreadable", kind=self.kind, detail=fault)

    def _record_answer(self):
        self._outage.record_answer(self.kind)
        if self.unavailable_since is not None:
            now = self._clock()
            seconds = round(now - self.unavailable_since, 3)
            log.info("store_regained", kind=self.kind, away_seconds=seconds)
            self.unavailable_since, self.recovered_at = None, now
