"""The sidecar process, which runs beside one upstream."""

import asyncio
from random import Random

import aiohttp
import structlog
from result import Err, Ok, Result
from websockets.asyncio.server import serve

from wharf_coordination import (
    Code,
    ConcurrencyLimiter,
    Refusal,
    ReportSchedule,
    SeenSet,
)
from wharf_daemon.configuration_feed import ConfigurationFeed
from wharf_daemon.configuration_fetcher import ConfigurationFetcher
from wharf_daemon.fact_feed import FactFeed
from wharf_daemon.http_server import HttpServer, split_address
from wharf_daemon.link_options import LINK_OPTIONS
from wharf_daemon.metrics import Metrics
from wharf_daemon.operators_api import OperatorsApi
from wharf_daemon.sidecar.claim_writer import ClaimWriter
from wharf_daemon.sidecar.crash_monitor import CrashMonitor
from wharf_daemon.sidecar.link_server import LinkServer
from wharf_daemon.sidecar.order_handler import OrderHandler
from wharf_daemon.sidecar.upstream_client import UpstreamClient, upstream_session
from wharf_daemon.sidecar.upstream_orders import UpstreamOrders
from wharf_daemon.supervision import supervised
from wharf_platform import CallLimiter, ObjectClient
from wharf_wire import Hello, Load

__all__ = ["Sidecar"]

SERVICE_TIME_WEIGHT = 0.2
REPORT_SECONDS_PER_LINK = 0.02
NOTICES_PER_SLOT = 2

log = structlog.get_logger(__name__)


class Sidecar:
    """Limit concurrency of one upstream, run its calls and report its load."""

    def __init__(self, settings, limiter=None):
        self.settings = settings
        self._rng = Random(settings.seed)
        self.metrics = Metrics()
        self.feed = ConfigurationFeed(self.metrics)
        self.fetcher = ConfigurationFetcher(self.feed, self._rng)
        self.facts = FactFeed()
        self.limiter = limiter or ConcurrencyLimiter(
            settings.cold_limit, settings.max_limit
        )
        self.crash_monitor = CrashMonitor(
            self.facts,
            self.limiter,
            self._new_run_id(),
            lambda: self.upstream.is_answering(),
        )
        self.metrics.running.set_function(lambda: self.limiter.in_flight)
        self.metrics.limit.set_function(lambda: self.limiter.limit)
        self.links = set()
        self.seen_attempts = SeenSet()
        self.leaving = False
        self._permit_by_attempt = {}
        self._was_data_centre_out = False
        self._refused_links = {}
        self._reports = ReportSchedule()
        self._service_time = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._link_closed = asyncio.Event()

    async def start(self):
        """Listen for entries and operators and start reporting load."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self._upstream_session = upstream_session()
        self.upstream = UpstreamClient(
            self._upstream_session,
            self.settings.upstream_url,
            self._observe_incarnation,
        )
        self.store = ObjectClient(
            self._session, self.settings.platform, limiter=CallLimiter(self._rng)
        )
        self.store.limiter.calls.subscribe(self._count_store_call)
        self.claims = ClaimWriter(self.store, self._rng)
        self.orders = OrderHandler(
            self.store,
            UpstreamOrders(self._upstream_session, self.settings.upstream_url),
        )
        self._operators = HttpServer(
            OperatorsApi(self, self.metrics).application(),
            self.settings.operators_listen,
        )
        await self._operators.start()
        host, port = split_address(self.settings.listen)
        self._server = await serve(self._serve_link, host, port, **LINK_OPTIONS)
        self.feed.documents.subscribe(self._on_document)
        self.facts.new_facts.subscribe(self._broadcast_facts)
        self._reporter = supervised("report load", self._report_load)

    @property
    def port(self):
        """Return the port on which entries connect."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def operators_port(self):
        """Return the port of the operators' API."""
        return self._operators.port

    async def stop(self):
        """Refuse new calls, finish running ones, then shut down."""
        self.leaving = True
        log.info("stopping", in_flight=self.limiter.in_flight)
        self._server.close(close_connections=False)
        self._broadcast_load()
        try:
            async with asyncio.timeout(self.settings.stop_grace):
                await self._idle.wait()
                await self._wait_for_closed_links()
        except TimeoutError:
            log.warning("stop_grace_spent", in_flight=self.limiter.in_flight)
        self._reporter.cancel()
        self.crash_monitor.close()
        for link in tuple(self.links):
            await link.close()
        await self._server.wait_closed()
        await self._session.close()
        await self._upstream_session.close()
        await self._operators.stop()

    def abort(self):
        """Close all links at once, as if the host were lost."""
        self.leaving = True
        self._server.close()

    def is_ready(self):
        """Return whether the sidecar accepts calls."""
        return not self.leaving

    def hello(self):
        """Return the greeting for a new link."""
        settings = self.settings
        revision = self.feed.document.revision
        return Hello(settings.upstream, settings.data_centre, revision)

    def load(self):
        """Return a report of the current load."""
        return Load(
            in_flight=self.limiter.in_flight,
            limit=self.limiter.in_flight + self.limiter.open_slots(self._now()),
            service_time=self._service_time,
            leaving=self.leaving,
            version="",
            revision=self.feed.document.revision,
            cold=self.limiter.is_cold,
        )

    def admit(self, call, link) -> Result[None, Refusal]:
        """Admit `call` to the upstream or refuse it as not run.

        When slots become free, refused links get a load report at once.
        """
        if self.leaving:
            return Err(Refusal.not_run(Code.UPSTREAM_LEAVING))
        if self._is_data_centre_out(self.feed.document):
            return Err(Refusal.not_run(Code.DATA_CENTRE_OUT))
        checked = self.crash_monitor.admit(call)
        if checked.is_err():
            return checked
        kind = f"{call.pipeline}/{call.stage}"
        admitted = self.limiter.acquire(kind, call.priority, self._now())
        match admitted:
            case Ok(permit):
                self._permit_by_attempt[call.attempt] = permit
                self._idle.clear()
            case Err(_):
                self._refused_links[link] = None
        return admitted.map(lambda _: None)

    def release(self, call, succeeded):
        """Free the slot of an admitted call; see `ConcurrencyLimiter.release`."""
        now = self._now()
        permit = self._permit_by_attempt.pop(call.attempt)
        self.limiter.release(permit, succeeded, now)
        gain = SERVICE_TIME_WEIGHT * (now - permit.begin - self._service_time)
        self._service_time += gain
        if self.limiter.in_flight == 0:
            self._idle.set()
        self._notify_refused_links()

    def dump(self):
        """Return the state as a dictionary for JSON."""
        return {
            "name": self.settings.name,
            "upstream": self.settings.upstream,
            "data_centre": self.settings.data_centre,
            "revision": self.feed.document.revision,
            "leaving": self.leaving,
            "in_flight": self.limiter.in_flight,
            "limit": self.limiter.limit,
            "cold": self.limiter.is_cold,
            "incarnation": self.limiter.incarnation,
            "service_time": self._service_time,
            "store_calls": self.store.calls_by_kind,
            "fencing": self.orders.guard.current,
            "facts": self.facts.dump(),
            "links": sorted(link.peer for link in self.links),
        }

    def _notify_refused_links(self):
        count = NOTICES_PER_SLOT * self.limiter.open_slots(self._now())
        for link in tuple(self._refused_links)[:count]:
            del self._refused_links[link]
            asyncio.ensure_future(link.send_if_open(self.load()))

    async def _serve_link(self, socket):
        link = LinkServer(socket, self)
        self.links.add(link)
        self.metrics.links.set(len(self.links))
        try:
            await link.serve()
        finally:
            self.links.discard(link)
            self._refused_links.pop(link, None)
            self._link_closed.set()
            self.metrics.links.set(len(self.links))

    async def _wait_for_closed_links(self):
        # An entry closes its link after reading that this sidecar is leaving, so
        # that no call is in transit when the last link has closed.
        while self.links:
            self._link_closed.clear()
            await self._link_closed.wait()

    async def _report_load(self):
        while True:
            # The interval grows with the number of links, since load changes all
            # the time and entries with many links would handle too many reports.
            spread = REPORT_SECONDS_PER_LINK * len(self.links)
            await asyncio.sleep(max(self.settings.load_interval, spread))
            if self._reports.is_due(self.load(), self._now()):
                self._broadcast_load()

    def _broadcast_load(self):
        report = self.load()
        self._reports.reported(report, self._now())
        for link in tuple(self.links):
            link.report(report)

    def _count_store_call(self, kind):
        self.metrics.store_calls.labels(kind).inc()

    def _broadcast_facts(self, message):
        for link in tuple(self.links):
            asyncio.ensure_future(link.send_if_open(message))

    def _is_data_centre_out(self, document):
        return self.settings.data_centre in document.out_data_centres

    def _on_document(self, document):
        upstream = document.folder.upstreams.get(self.settings.upstream)
        if upstream:
            self.limiter.configure(
                upstream.cold_limit, upstream.max_limit, upstream.warm_calls
            )
        if self._was_data_centre_out and not self._is_data_centre_out(document):
            # Caches and models may have been evicted while no calls ran.
            self.limiter.mark_cold()
        self._was_data_centre_out = self._is_data_centre_out(document)
        for link in tuple(self.links):
            link.notify_revision()
        # The report confirms that this revision is in effect.
        self._broadcast_load()

    def _new_run_id(self):
        return f"{self.settings.upstream}/{self._rng.getrandbits(48):012x}"

    def _observe_incarnation(self, incarnation):
        self.limiter.observe_incarnation(incarnation, self._now())

    def _now(self):
        return asyncio.get_running_loop().time()
