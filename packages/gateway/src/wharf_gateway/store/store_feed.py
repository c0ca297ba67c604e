"""Handing on changes of the store between gateways, so that few of them watch it."""

import asyncio
from dataclasses import dataclass

import structlog
from result import Err, Ok

from wharf_coordination.rendezvous import ranked
from wharf_gateway.peers.messages import StoreNews
from wharf_gateway.store.store_position import StorePosition
from wharf_gateway.store.store_probe import StoreProbe
from wharf_gateway.store.stored_object import StoredObject

__all__ = ["StoreFeed"]

log = structlog.get_logger(__name__)

# Gateways that watch the store for all, in different data centres if possible.
FEEDER_COUNT = 2
# In smaller fleets each gateway watches for itself, as that costs few calls.
MIN_FLEET_SIZE = 13
# A feeder vouches for what it has handed on for this long after a call that the store
# answered; its watch alone wouldn't show that it is cut off.
PROBE_INTERVAL_SECONDS = 0.4
# A probe shows which changes the watches should have delivered. Each second one of a
# feeder isn't outdated, and each one in a fleet without feeders, where one gateway
# probes for all.
SMALL_PROBE_INTERVAL_SECONDS = 0.6
PROBE_TIMEOUT_SECONDS = 1.5
# A second probe takes another connection while the first waits for its answer.
MAX_PROBES = 2
NOTICE_VALID_SECONDS = 0.5  # five intervals of notices
# After its start a gateway waits this long for a feeder before it watches itself.
FIRST_NOTICE_SECONDS = 0.6
# Larger changes aren't handed on: each gateway reads them from the store, whose link
# carries more than a feeder's.
MAX_NEWS_BYTES = 16_000


@dataclass(frozen=True, slots=True)
class _Source:
    """What a feeder vouches for: revisions of an era by kind, and when it did so."""

    era: int | None
    revision_by_kind: dict
    heard_at: float

    def position(self, kind):
        """Return the position of a kind, or None."""
        revision = self.revision_by_kind.get(kind)
        return None if revision is None else StorePosition(self.era, revision)


class StoreFeed:
    """Decide who watches the store, and exchange what the watchers see.

    The feeders are chosen by rendezvous among the gateways that are linked to all
    others. They hand each change on and tell ten times a second up to which revision
    they have done so, while the store answers them. A gateway that no feeder vouches
    to, or that misses a change, calls the store itself. Feeders of another era of the
    store vouch for nothing, and one of a later era makes a gateway list anew.
    `gateway_count()` returns the number of registered gateways. Times are those of the
    event loop, in seconds.
    """

    def __init__(self, settings, peers, store, gateway_count, clock, eras):
        self._settings = settings
        self._peers = peers
        self._store = store
        self.gateway_count = gateway_count
        self._clock = clock
        self._eras = eras
        self._started_at = clock()
        self._source_by_name = {}
        self._probe = StoreProbe()
        self._probe_tasks = set()
        self._probe_count = 0
        self._is_rejected = False
        self._was_feeder = False
        self.watcher_by_kind = {}
        self._waiter_by_kind = {}

    def is_starting(self, now):
        """Return whether it is too early to expect a feeder's notice."""
        return now - self._started_at < FIRST_NOTICE_SECONDS

    def is_feeder(self, now):
        """Return whether this gateway watches the store for others."""
        return self._is_large() and self._settings.name in self.feeders(now)

    def feeders(self, now):
        """Return the names of the gateways that watch the store for all."""
        centre_by_name = {
            name: link.data_centre
            for name, link in self._peers.responsive(now).items()
            if name in self._peers.candidates
        }
        if self._settings.name in self._peers.candidates:
            centre_by_name[self._settings.name] = self._settings.data_centre
        names = ranked("store", centre_by_name)
        if not names:
            return []
        first = names[0]
        # Stable, so that names of the first one's data centre go last.
        others = sorted(
            names[1:], key=lambda name: centre_by_name[name] == centre_by_name[first]
        )
        return [first, *others[: FEEDER_COUNT - 1]]

    def covers(self, kind, position, now):
        """Return whether a feeder vouches that `position` of a kind is the newest."""
        follows = self._is_large() and not self.is_feeder(now)
        return follows and self._is_vouched(kind, position, now)

    def _is_vouched(self, kind, position, now):
        if not self._eras.is_newest(position.era):
            return False
        vouched = [
            source.position(kind)
            for source in self._heard(now)
            if source.era == position.era
        ]
        known = [other for other in vouched if other is not None]
        return bool(known) and all(map(position.includes, known))

    async def wait_uncovered(self, kind):
        """Wait until no feeder vouches for this gateway's position of a kind."""
        future = asyncio.get_running_loop().create_future()
        self._waiter_by_kind[kind] = future
        try:
            await future
        finally:
            del self._waiter_by_kind[kind]

    def advance(self, now):
        """Wake the watchers that no feeder vouches to any more."""
        is_feeder = self.is_feeder(now)
        follows = self._is_large() and not is_feeder
        for kind, future in self._waiter_by_kind.items():
            watcher = self.watcher_by_kind[kind]
            if not watcher.is_in_newest_era:
                continue  # it lists anew by itself
            is_covered = follows and self._is_vouched(kind, watcher.position, now)
            if not future.done() and not is_covered:
                future.set_result(None)
        self._check_watches(now)
        if is_feeder != self._was_feeder:
            self._was_feeder = is_feeder
            log.info("store_feeder", feeding=is_feeder)

    @property
    def era(self):
        """Return the newest era of the store that it has named itself, or None."""
        return self._eras.current

    def vouched_revisions(self, now):
        """Return up to which revisions of `era` this gateway vouches for to others.

        This is empty unless it probes for others and the store has answered just now.
        Without feeders it is up to which revision kinds have changed.
        """
        if not self._probe.is_valid(now) or not self._is_prober(now):
            return {}
        is_feeder = self.is_feeder(now)
        return {
            str(kind): (watcher.position if is_feeder else changed).revision
            for kind, watcher in self.watcher_by_kind.items()
            if (changed := watcher.changed_position) and watcher.is_watching
        }

    async def probe(self):
        """Keep asking for the store's revision, unless another gateway does so."""
        try:
            while True:
                is_feeder = self.is_feeder(self._clock())
                await asyncio.sleep(self._probe_interval(is_feeder))
                now = self._clock()
                if len(self._probe_tasks) < MAX_PROBES and self._must_probe(now):
                    self._probe_count += 1
                    is_stale = is_feeder and self._probe_count % 2 == 0
                    task = asyncio.create_task(self._probe_once(is_stale))
                    self._probe_tasks.add(task)
                    task.add_done_callback(self._probe_tasks.discard)
        finally:
            for task in self._probe_tasks:
                task.cancel()

    async def _probe_once(self, is_stale):
        sent_at = self._clock()
        answer = await self._store.probe(PROBE_TIMEOUT_SECONDS, is_stale=is_stale)
        match answer:
            case Ok(position):
                self._is_rejected = False
                self._probe.record(position, sent_at, self._clock())
            case Err(error):
                self._is_rejected = error.status is not None

    def _probe_interval(self, is_feeder):
        if is_feeder:
            return PROBE_INTERVAL_SECONDS
        return SMALL_PROBE_INTERVAL_SECONDS * (1 + self._is_rejected)

    def _is_prober(self, now):
        """Return whether this gateway asks for the store's revision for others."""
        feeders = self.feeders(now)
        return self._settings.name in (feeders if self._is_large() else feeders[:1])

    def _must_probe(self, now):
        if self._is_prober(now):
            return True
        return not self.is_starting(now) and not self._heard(now)

    def _heard(self, now):
        """Return the sources that have been heard just now."""
        return [
            source
            for source in self._source_by_name.values()
            if now - source.heard_at < NOTICE_VALID_SECONDS
        ]

    def _check_watches(self, now):
        """Let the watchers check what others or the own probe have seen."""
        sources = self._heard(now)
        for kind, watcher in self.watcher_by_kind.items():
            told = [self._probe.position, *(s.position(kind) for s in sources)]
            watcher.check_behind([p for p in told if p is not None], now)

    def publish(self, kind, since, position, objects):
        """As a feeder, hand on the changes of a kind after the position `since`."""
        if not self.is_feeder(self._clock()):
            return
        changes = tuple(
            (o.name, o.revision, o.spec, o.status, o.is_deleted) for o in objects
        )
        revision, era = position.revision, position.era
        news = StoreNews(kind, since.revision, revision, changes, era)
        self._peers.post_all(news, MAX_NEWS_BYTES)

    def handle_news(self, message, now):
        """Apply changes that a feeder has handed on.

        A feeder takes none, so that it vouches only for what it has seen itself.
        """
        if self.is_feeder(now):
            return
        watcher = self.watcher_by_kind.get(message.store_kind)
        if watcher is not None:
            objects = tuple(StoredObject(*change) for change in message.changes)
            since = StorePosition(message.era, message.since)
            position = StorePosition(message.era, message.revision)
            watcher.apply_news(since, position, objects, now)

    def handle_notice(self, name, era, revision_by_kind, now):
        """Record a peer's era of the store and what it vouches for as a feeder."""
        if revision_by_kind:
            self._source_by_name[name] = _Source(era, revision_by_kind, now)
        if self._eras.hear(era):
            log.info("store_era_heard", peer=name, era=era)
            for watcher in self.watcher_by_kind.values():
                watcher.list_anew(now)

    def dump(self, now):
        """Return who watches the store and what they vouch for, for operators."""
        return {
            "feeders": self.feeders(now) if self._is_large() else [],
            "sources": {
                name: {
                    "heard_seconds_ago": round(now - source.heard_at, 3),
                    "era": source.era,
                    "revisions": source.revision_by_kind,
                }
                for name, source in self._source_by_name.items()
            },
        }

    def _is_large(self):
        return self.gateway_count() >= MIN_FLEET_SIZE
