"""The links of a gateway to all others."""

import asyncio

import structlog
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from wharf_coordination.backoff import Backoff
from wharf_gateway.peers.candidates import candidates
from wharf_gateway.peers.codec import MAX_FRAME_BYTES
from wharf_gateway.peers.messages import Greeting, LoadNotice
from wharf_gateway.peers.peer_link import PeerLink

__all__ = ["PeerSet"]

log = structlog.get_logger(__name__)

NOTICE_SECONDS = 0.1  # a tenth of the shortest aim of a request
RECONNECT = Backoff(first=0.1, longest=2.0)
DIAL_BACK_SECONDS = 1.0  # the other side usually links within some 50 ms
# Of websockets' own pings: a link that is silent for three seconds is given up, as
# any connection is.
PING_SECONDS = 1.0
PING_WAIT_SECONDS = 2.0
_OPTIONS = {
    "compression": None,
    "max_size": MAX_FRAME_BYTES,
    "ping_interval": PING_SECONDS,
    "ping_timeout": PING_WAIT_SECONDS,
    "close_timeout": 0.2,
}


class PeerSet:
    """Keep the links between those that may prepare and all others.

    The lesser name dials at once, the other if no link comes, since the lesser may not
    know it: one that lost the store hears of nobody new. `candidates` are the names of
    those that may prepare, this gateway perhaps among them.
    """

    def __init__(self, settings, preparers, clock, rng, load):
        self._settings = settings
        self._preparers = preparers
        self._clock = clock
        self._rng = rng
        self._load = load
        self.rollouts = None
        self._dialer_by_name = {}
        self._state_by_name = {}
        self.link_by_name = {}
        self.candidates = frozenset()

    async def start(self):
        """Listen for peers and begin to tell the load."""
        host, port = self._settings.host, self._settings.peer_port
        self._server = await serve(self._accept, host, port, **_OPTIONS)
        self._notices = asyncio.create_task(self._tell_load())

    def stop(self):
        """Close all links."""
        self._server.close()
        self._notices.cancel()
        for task in self._dialer_by_name.values():
            task.cancel()

    def update_peers(self, entry_by_name):
        """Dial the gateways that are listed and prepare, or all if this one does."""
        own = self._settings
        capacity_by_name = {n: entry.capacity for n, entry in entry_by_name.items()}
        known = candidates({own.name: own.capacity} | capacity_by_name)
        if known != self.candidates:
            self.candidates = known
            log.info(
                "preparer_candidates", names=sorted(known), gateways=len(entry_by_name)
            )
        wanted = {
            name: entry.address
            for name, entry in entry_by_name.items()
            if own.name in self.candidates or name in self.candidates
        }
        for name in list(self._dialer_by_name):
            if name not in wanted:
                self._dialer_by_name.pop(name).cancel()
        for name, address in wanted.items():
            if name != own.name and name not in self._dialer_by_name:
                delay = 0.0 if name > own.name else DIAL_BACK_SECONDS
                task = asyncio.create_task(self._dial(name, address, delay))
                self._dialer_by_name[name] = task

    def available(self, now):
        """Return the links to peers that take work, by name."""
        return {
            name: link for name, link in self.link_by_name.items() if link.is_alive(now)
        }

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
                    await self._run(socket, is_own_dial=True)
            except (OSError, TimeoutError, WebSocketException) as error:
                log.debug("peer_unreachable", peer=name, detail=repr(error))
            failures += 1
            await asyncio.sleep(RECONNECT.delay(failures, self._rng))

    async def _accept(self, socket):
        await self._run(socket)

    async def _run(self, socket, *, is_own_dial=False):
        link = PeerLink(
            socket, self._preparers, self.rollouts, self._clock, is_own_dial=is_own_dial
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
        """Keep a link, unless there is a better one to the same peer.

        Where both sides dialled, both keep what the lesser name dialled.
        """
        other = self.link_by_name.get(link.name)
        if other is not None and other.is_heard(self._clock()):
            if other.is_own_dial == link.is_own_dial or not self._is_preferred(link):
                link.close()
                return
            other.close()
        self.link_by_name[link.name] = link
        log.info("peer_linked", peer=link.name, data_centre=link.data_centre)
        link.post(self._notice())

    def _is_preferred(self, link):
        """Return whether the lesser name dialled a link."""
        return link.is_own_dial == (self._settings.name < link.name)

    def _notice(self):
        return LoadNotice(*self._load())

    async def _tell_load(self):
        while True:
            await asyncio.sleep(NOTICE_SECONDS)
            notice = self._notice()
            for link in list(self.link_by_name.values()):
                link.post(notice)
            self._look_after_peers()

    def _look_after_peers(self):
        """Tell changes of peers, and ask others in place of silent ones."""
        now = self._clock()
        for name, link in list(self.link_by_name.items()):
            state = "ready" if link.is_ready else "not ready"
            if link.fail_if_silent():
                state = "silent"
            if self._state_by_name.get(name) != state:
                self._state_by_name[name] = state
                seconds = round(now - link.last_received_at, 3)
                log.info("peer", peer=name, state=state, heard_seconds_ago=seconds)
