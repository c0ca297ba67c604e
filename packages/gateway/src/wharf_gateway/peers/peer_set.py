"""The links of a gateway to the other gateways."""

import asyncio
from dataclasses import replace
from functools import partial

import structlog
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from wharf_coordination.backoff import Backoff
from wharf_coordination.rendezvous import ranked
from wharf_gateway.peers.candidates import candidates, reserves
from wharf_gateway.peers.codec import MAX_FRAME_BYTES, encode
from wharf_gateway.peers.messages import Greeting, LoadNotice
from wharf_gateway.peers.peer_link import PEER_TIMEOUT_SECONDS, PeerLink
from wharf_gateway.supervision import supervised

__all__ = ["PeerSet"]

log = structlog.get_logger(__name__)

# Gateways that others depend on send notices at a tenth of the shortest latency target
# of a request; those that may take their place less often, all others only to show
# that they run.
LOAD_INTERVAL_SECONDS = 0.1
STANDBY_INTERVALS = 2
IDLE_INTERVALS = 4
IDLE_VALID_SECONDS = 1.0
# Links that exist only for reserves carry few notices while no reserve prepares: with
# 340 gateways and 2 reserves, each reserve sends and gets 420 a second.
RESERVE_INTERVALS = 8
RESERVE_VALID_SECONDS = 2.0
REPEATERS = 2
RECONNECT_BACKOFF = Backoff(first=0.1, longest=2.0)
FALLBACK_DIAL_SECONDS = 1.0  # the other side usually connects within some 50 ms
# Pings of the websockets library; as for all connections, a link is closed after three
# seconds of silence.
PING_INTERVAL_SECONDS = 1.0
PING_TIMEOUT_SECONDS = 2.0
_OPTIONS = {
    "compression": None,
    "max_size": MAX_FRAME_BYTES,
    "ping_interval": PING_INTERVAL_SECONDS,
    "ping_timeout": PING_TIMEOUT_SECONDS,
    "close_timeout": 0.2,
}


class PeerSet:
    """Keep a link from each gateway that may run preparations to all others.

    Of two gateways the one whose name sorts first connects at once. The other connects
    after a delay if there is no link, since the first may not know it: a gateway cut
    off from the store learns of no new ones. `candidates` has the names of the gateways
    that may run preparations, possibly including this one. Once `use_reserves` was
    called, `reserves` has those that do so while no candidate is ready, and they have
    links to all others, too. `load()` returns the fields of a `LoadNotice`. Each of
    `greeters` is called with a link that was just made.
    """

    def __init__(self, settings, preparers, clock, rng, load):
        self._settings = settings
        self._preparers = preparers
        self._clock = clock
        self._rng = rng
        self._load = load
        self.rollouts = None
        self.feed = None
        self.crashes = None
        self.limits = None
        self.configurations = None
        self.loads = None
        self.duties = None
        self.greeters = []
        self._dial_task_by_name = {}
        self._state_by_name = {}
        self.link_by_name = {}
        self.candidates = frozenset()
        self.reserves = frozenset()
        self._has_reserves = False
        self._entry_by_name = {}

    async def start(self):
        """Listen for peers and start to send load notices."""
        host, port = self._settings.host, self._settings.peer_port
        self._server = await serve(self._accept, host, port, **_OPTIONS)
        self._notice_task = supervised("load notices", self._send_load_notices)

    def stop(self):
        """Close all links."""
        self._server.close()
        self._notice_task.cancel()
        for task in self._dial_task_by_name.values():
            task.cancel()

    def update_peers(self, entry_by_name):
        """Connect to the preparation candidates, or to all gateways if this is one.

        `entry_by_name` has the entries of all gateways; tasks for others are cancelled.
        """
        own = self._settings
        self._entry_by_name = entry_by_name
        capacity_by_name = {n: entry.capacity for n, entry in entry_by_name.items()}
        capacity_by_name = {own.name: own.capacity} | capacity_by_name
        names = candidates(capacity_by_name)
        others = reserves(capacity_by_name) if self._has_reserves else frozenset()
        if names != self.candidates:
            self.candidates = names
            log.info(
                "preparer_candidates", names=sorted(names), gateways=len(entry_by_name)
            )
        if others != self.reserves:
            self.reserves = others
            log.info("preparer_reserves", names=sorted(others))
        linked = names | others
        address_by_name = {
            name: entry.address
            for name, entry in entry_by_name.items()
            if own.name in linked or name in linked
        }
        for name in list(self._dial_task_by_name):
            if name not in address_by_name:
                self._dial_task_by_name.pop(name).cancel()
        for name, address in address_by_name.items():
            if name != own.name and name not in self._dial_task_by_name:
                delay = 0.0 if name > own.name else FALLBACK_DIAL_SECONDS
                self._dial_task_by_name[name] = supervised(
                    f"link to {name}", partial(self._dial, name, address, delay)
                )

    def use_reserves(self):
        """Link the gateways that prepare while no candidate is ready to all others."""
        if not self._has_reserves:
            self._has_reserves = True
            self.update_peers(self._entry_by_name)

    def available(self, now):
        """Return the links to peers that accept preparations, by name."""
        return {
            name: link
            for name, link in self.link_by_name.items()
            if link.is_available(now)
        }

    def responsive(self, now):
        """Return the links to peers that were heard recently, by name."""
        return {
            name: link
            for name, link in self.link_by_name.items()
            if link.is_responsive(now)
        }

    @property
    def is_candidate(self):
        """Return whether this gateway has links to all others."""
        return self._settings.name in self.candidates

    def is_repeater(self, now):
        """Return whether this gateway repeats what all should know.

        Two of those that are linked to all do so, as long as they hear each other.
        """
        if not self.is_candidate:
            return False
        names = {name for name in self.responsive(now) if name in self.candidates}
        names.add(self._settings.name)
        return self._settings.name in ranked("repeaters", names)[:REPEATERS]

    def post_all(self, message, most=None, except_names=frozenset()):
        """Send a message to all peers, unless it exceeds `most` bytes."""
        frame = encode(message)
        if most is None or len(frame) <= most:
            self._post_frame(frame, self.link_by_name.keys() - except_names)

    def _post_frame(self, frame, names):
        for name, link in list(self.link_by_name.items()):
            if name in names:
                link.post_frame(frame)

    def post_to(self, links, message):
        """Send a message to some peers, encoded once."""
        frame = encode(message)
        for link in list(links):
            link.post_frame(frame)

    async def _dial(self, name, address, delay):
        failures = 0
        while True:
            link = self.link_by_name.get(name)
            if link is not None:
                await link.ended.wait()
            if delay:
                await asyncio.sleep(delay * self._rng.uniform(1.0, 1.5))
            if name in self.link_by_name:
                continue
            try:
                async with connect(
                    f"ws://{address}", open_timeout=1.0, **_OPTIONS
                ) as socket:
                    failures = 0
                    await self._run(socket, is_outgoing=True)
            except (OSError, ValueError, WebSocketException) as error:
                log.debug("peer_unreachable", peer=name, detail=repr(error))
            failures += 1
            await asyncio.sleep(RECONNECT_BACKOFF.delay(failures, self._rng))

    async def _accept(self, socket):
        await self._run(socket)

    async def _run(self, socket, *, is_outgoing=False):
        link = PeerLink(
            socket,
            self._preparers,
            self.rollouts,
            self._clock,
            feed=self.feed,
            crashes=self.crashes,
            limits=self.limits,
            configurations=self.configurations,
            loads=self.loads,
            duties=self.duties,
            is_outgoing=is_outgoing,
        )
        greeting = Greeting(self._settings.name, self._settings.data_centre)
        try:
            await link.run(greeting, self._on_greeting)
        except WebSocketException as error:
            log.debug("peer_link_broken", peer=link.name, detail=repr(error))
        finally:
            if self.link_by_name.get(link.name) is link:
                del self.link_by_name[link.name]
                log.info("peer_lost", peer=link.name)

    def _on_greeting(self, link):
        """Register a link, or close it if another one to the same peer is kept.

        If both sides connected, both keep the connection of the name that sorts first.
        """
        other = self.link_by_name.get(link.name)
        if other is not None and other.is_responsive(self._clock()):
            if other.is_outgoing == link.is_outgoing or not self._is_preferred(link):
                link.close()
                return
            other.close()
        self.link_by_name[link.name] = link
        log.info("peer_linked", peer=link.name, data_centre=link.data_centre)
        notice = self._load_notice()
        is_slow = link.name in self._reserve_links(notice)
        link.post(_as_rare(notice) if is_slow else notice)
        for greet in self.greeters:
            greet(link)

    def announce(self):
        """Send a load notice at once, ahead of what depends on it."""
        notice = self._load_notice()
        slow = self._reserve_links(notice)
        self.post_all(notice, except_names=slow)
        if slow:
            self._post_frame(encode(_as_rare(notice)), slow)

    def _is_preferred(self, link):
        """Return whether the gateway whose name sorts first opened the link."""
        return link.is_outgoing == (self._settings.name < link.name)

    def _load_notice(self):
        ready, backlog_by_pool = self._load()
        vouched = self.feed.vouched_revisions(self._clock()) if self.feed else {}
        era = self.feed.era if self.feed else None
        is_depended_on = self._is_depended_on(backlog_by_pool)
        valid_seconds = PEER_TIMEOUT_SECONDS if is_depended_on else IDLE_VALID_SECONDS
        knows_loads = self.loads is not None and self.loads.is_enabled()
        return LoadNotice(
            ready, backlog_by_pool, valid_seconds, vouched, era, knows_loads
        )

    def _is_depended_on(self, backlog_by_pool):
        """Return whether it may prepare for others, or does so in place of others."""
        is_needed_reserve = backlog_by_pool and self._settings.name in self.reserves
        return self.is_candidate or bool(is_needed_reserve)

    def _reserve_links(self, notice):
        """Return the names of the links that only a reserve needs and doesn't use."""
        if not self.reserves or self._is_depended_on(notice.backlog_by_pool):
            return frozenset()
        is_reserve = self._settings.name in self.reserves
        names = self.link_by_name.keys() if is_reserve else self.reserves
        return frozenset(names) - self.candidates

    def _notice_intervals(self, notice, last):
        """Return after how many intervals a notice follows the last one sent."""
        is_first = last is None
        if not is_first and notice.store_era != last.store_era:
            return 1
        if not self._is_depended_on(notice.backlog_by_pool):
            return IDLE_INTERVALS
        is_needed = notice.backlog_by_pool or notice.revision_by_kind
        has_changed = is_first or notice.ready != last.ready
        return 1 if is_needed or has_changed else STANDBY_INTERVALS

    async def _send_load_notices(self):
        last, waited, reserve_waited, last_slow = None, 0, 0, frozenset()
        while True:
            await asyncio.sleep(LOAD_INTERVAL_SECONDS)
            waited += 1
            reserve_waited += 1
            notice = self._load_notice()
            slow = self._reserve_links(notice)
            if waited >= self._notice_intervals(notice, last):
                self.post_all(notice, except_names=slow)
                last, waited = notice, 0
            # The last frequent notice is valid for less than the rare interval.
            if slow - last_slow or reserve_waited >= RESERVE_INTERVALS:
                self._post_frame(encode(_as_rare(notice)), slow)
                reserve_waited = 0
            last_slow = slow
            self._check_peers()

    def _check_peers(self):
        """Log changes of peers' states and fail preparations of unresponsive peers."""
        now = self._clock()
        for name, link in list(self.link_by_name.items()):
            state = "ready" if link.is_ready else "not ready"
            if link.fail_if_unresponsive():
                state = "silent"
            if self._state_by_name.get(name) != state:
                self._state_by_name[name] = state
                seconds = round(now - link.last_received_at, 3)
                log.info("peer", peer=name, state=state, heard_seconds_ago=seconds)


def _as_rare(notice):
    """Return a notice for a link on which the next one follows late."""
    return replace(notice, valid_seconds=RESERVE_VALID_SECONDS)
