"""Keeps up with all objects of one kind."""

import asyncio

import structlog
from result import Err, Ok

from wharf_coordination.backoff import Backoff
from wharf_gateway.store.store_error import HistoryGone

__all__ = ["StoreWatcher"]

log = structlog.get_logger(__name__)

# A watch that hears nothing is renewed this often; each renewal is a call, the store
# allows 30 s, and probes of the connection tell when it is dead.
WATCH_SECONDS = 25.0
# Before the next watch after a change, so that changes which come together cost one
# call; below the 0.2 s of a step's call, for which room is waited for.
GATHER_SECONDS = 0.15
LONGEST_PAUSE_SECONDS = 1.0  # between two tries while the store is away
RETRY = Backoff(first=0.1, longest=LONGEST_PAUSE_SECONDS)


class StoreWatcher:
    """List a kind once and follow its changes, through outages of the store.

    `on_listing(objects, now)` gets all objects, `on_changes(objects, now)` those
    that changed. One that `coalesces` waits a moment after each change, for others to
    come with the next call. `unavailable_since` is the time since which the store hasn't
    answered, `recovered_at` that at which it last came back. All followers of a
    process share an `outage`.
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
    ):
        self._store = store
        self.kind = kind
        self._on_listing = on_listing
        self._on_changes = on_changes
        self._clock = clock
        self._rng = rng
        self._outage = outage
        self._gathers = coalesces
        self._has_changed = False
        self.revision = None
        self.unavailable_since = None
        self.recovered_at = None

    async def run(self):
        """Follow for ever."""
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
                    # A watch that is taken up again may wait at a revision whose
                    # history is being dropped, and hear of nothing.
                    self.revision = None
                    self._note_lost(error)
                    failures += 1
                    seconds = RETRY.delay(failures, self._rng)
                    await self._outage.wait_turn(self.kind, seconds)

    async def _next(self):
        if self.revision is None:
            answer = await self._store.list(self.kind)
            return answer.map(self._take_listing)
        if self._has_changed and self._gathers:
            await asyncio.sleep(GATHER_SECONDS)
        answer = await self._store.watch(self.kind, self.revision, WATCH_SECONDS)
        return answer.map(self._take_changes)

    def _take_listing(self, listing):
        objects, self.revision = listing
        self._note_answer()
        self._on_listing(objects, self._clock())

    def _take_changes(self, changes):
        self.revision = changes.revision
        self._note_answer()
        self._has_changed = bool(changes.objects)
        if changes.objects:
            self._on_changes(changes.objects, self._clock())

    def _note_lost(self, error):
        if self.unavailable_since is None:
            self.unavailable_since = self._clock()
            log.warning("store_lost", kind=self.kind, detail=error.detail)

    def _note_answer(self):
        self._outage.note_answer(self.kind)
        if self.unavailable_since is not None:
            now = self._clock()
            away = round(now - self.unavailable_since, 3)
            log.info("store_regained", kind=self.kind, away_seconds=away)
            self.unavailable_since, self.recovered_at = None, now
