"""The sidecar: one small process beside each upstream."""

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
from wharf_daemon.http_site import HttpSite, split_address
from wharf_daemon.link_options import LINK_OPTIONS
from wharf_daemon.metrics import Metrics
from wharf_daemon.operators_api import OperatorsApi
from wharf_daemon.sidecar.claim_writer import ClaimWriter
from wharf_daemon.sidecar.crash_watch import CrashWatch
from wharf_daemon.sidecar.link_server import LinkServer
from wharf_daemon.sidecar.order_handler import OrderHandler
from wharf_daemon.sidecar.upstream_client import UpstreamClient
from wharf_daemon.sidecar.upstream_orders import UpstreamOrders
from wharf_platform import CallLimiter, ObjectClient
from wharf_wire import Hello, Load

__all__ = ["Sidecar"]

SERVICE_TIME_WEIGHT = 0.2
REPORT_SECONDS_PER_LINK = 0.02
WAKES_PER_SLOT = 2

log = structlog.get_logger(__name__)


class Sidecar:
    """Guard one upstream: admit, run, answer, and report its load."""

    def __init__(self, settings, gate=None):
        self.settings = settings
        self._rng = Random(settings.seed)
        self.metrics = Metrics()
        self.feed = ConfigurationFeed(self.metrics)
        self.fetcher = ConfigurationFetcher(self.feed, self._rng)
        self.facts = FactFeed()
        self.gate = gate or ConcurrencyLimiter(settings.cold_limit, settings.max_limit)
        self.crashes = CrashWatch(
            self.facts,
            self.gate,
            self._run_name(),
            lambda: self.upstream.is_answering(),
        )
        self.metrics.running.set_function(lambda: self.gate.in_flight)
        self.metrics.limit.set_function(lambda: self.gate.limit)
        self.links = set()
        self.seen = SeenSet()
        self.leaving = False
        self._pass_by_attempt = {}
        self._was_out = False
        self._refused_links = {}
        self._reports = ReportSchedule()
        self._service_time = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._unlinked = asyncio.Event()

    async def start(self):
        """Listen for entries and operators and start to report load."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self.upstream = UpstreamClient(
            self._session, self.settings.upstream_url, self._observe_incarnation
        )
        self.store = ObjectClient(
            self._session, self.settings.platform, limiter=CallLimiter(self._rng)
        )
        self.store.limiter.calls.subscribe(self._count_store_call)
        self.claims = ClaimWriter(self.store, self._rng)
        self.orders = OrderHandler(
            self.store, UpstreamOrders(self._session, self.settings.upstream_url)
        )
        self._operators = HttpSite(
            OperatorsApi(self, self.metrics).application(),
            self.settings.operators_listen,
        )
        await self._operators.start()
        host, port = split_address(self.settings.listen)
        self._server = await serve(self._serve_link, host, port, **LINK_OPTIONS)
        self.feed.documents.subscribe(self._on_document)
        self.facts.news.subscribe(self._broadcast_facts)
        self._reporter = asyncio.create_task(self._report_load())

    @property
    def port(self):
        """Return the port on which entries connect."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def operators_port(self):
        """Return the port of the operators' endpoints."""
        return self._operators.port

    async def stop(self):
        """Refuse new calls, finish those that run, then leave."""
        self.leaving = True
        log.info("stopping", in_flight=self.gate.in_flight)
        self._server.close(close_connections=False)
        self._broadcast_load()
        try:
            async with asyncio.timeout(self.settings.stop_grace):
                await self._idle.wait()
                await self._until_unlinked()
        except TimeoutError:
            log.warning("stop_grace_spent", in_flight=self.gate.in_flight)
        self._reporter.cancel()
        self.crashes.close()
        for link in tuple(self.links):
            await link.close()
        await self._server.wait_closed()
        await self._session.close()
        await self._operators.stop()

    def abort(self):
        """Drop all links at once, as the loss of the host would."""
        self.leaving = True
        self._server.close()

    def is_ready(self):
        """Return whether the sidecar takes calls."""
        return not self.leaving

    def hello(self):
        """Return the first message of a link."""
        settings = self.settings
        revision = self.feed.document.revision
        return Hello(settings.upstream, settings.data_centre, revision)

    def load(self):
        """Return the present load report."""
        return Load(
            in_flight=self.gate.in_flight,
            limit=self.gate.in_flight + self.gate.open_slots(self._now()),
            service_time=self._service_time,
            leaving=self.leaving,
            version="",
            revision=self.feed.document.revision,
        )

    def admit(self, call, link) -> Result[None, Refusal]:
        """Admit `call` to the upstream or refuse it as not run.

        A refused link hears of the next room as soon as there is some.
        """
        if self.leaving:
            return Err(Refusal.not_run(Code.UPSTREAM_LEAVING))
        if self._is_out(self.feed.document):
            return Err(Refusal.not_run(Code.DATA_CENTRE_OUT))
        judged = self.crashes.admit(call)
        if judged.is_err():
            return judged
        kind = f"{call.pipeline}/{call.stage}"
        admitted = self.gate.acquire(kind, call.priority, self._now())
        match admitted:
            case Ok(gate_pass):
                self._pass_by_attempt[call.attempt] = gate_pass
                self._idle.clear()
            case Err(_):
                self._refused_links[link] = None
        return admitted.map(lambda _: None)

    def release(self, call, succeeded):
        """Count an admitted call as ended; `succeeded` is as in
        `ConcurrencyLimiter.release`.
        """
        now = self._now()
        gate_pass = self._pass_by_attempt.pop(call.attempt)
        self.gate.release(gate_pass, succeeded, now)
        gain = SERVICE_TIME_WEIGHT * (now - gate_pass.begin - self._service_time)
        self._service_time += gain
        if self.gate.in_flight == 0:
            self._idle.set()
        self._tell_refused_links()

    def dump(self):
        """Return the process's state for operators."""
        return {
            "name": self.settings.name,
            "upstream": self.settings.upstream,
            "data_centre": self.settings.data_centre,
            "revision": self.feed.document.revision,
            "leaving": self.leaving,
            "in_flight": self.gate.in_flight,
            "limit": self.gate.limit,
            "cold": self.gate.is_cold,
            "incarnation": self.gate.incarnation,
            "service_time": self._service_time,
            "store_calls": self.store.calls_by_kind,
            "fencing": self.orders.guard.current,
            "facts": self.facts.dump(),
            "links": sorted(link.peer for link in self.links),
        }

    def _tell_refused_links(self):
        count = WAKES_PER_SLOT * self.gate.open_slots(self._now())
        for link in tuple(self._refused_links)[:count]:
            del self._refused_links[link]
            asyncio.ensure_future(link.send_quietly(self.load()))

    async def _serve_link(self, socket):
        link = LinkServer(socket, self)
        self.links.add(link)
        self.metrics.links.set(len(self.links))
        try:
            await link.serve()
        finally:
            self.links.discard(link)
            self._refused_links.pop(link, None)
            self._unlinked.set()
            self.metrics.links.set(len(self.links))

    async def _until_unlinked(self):
        # An entry closes its link once it has read that this sidecar is leaving,
        # so that no call can still be under way when the last link is closed.
        while self.links:
            self._unlinked.clear()
            await self._unlinked.wait()

    async def _report_load(self):
        while True:
            # Many links stretch the interval, so that entries with many links
            # don't spend their control budget on load that moves all the time.
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
            asyncio.ensure_future(link.send_quietly(message))

    def _is_out(self, document):
        return self.settings.data_centre in document.out_data_centres

    def _on_document(self, document):
        upstream = document.folder.upstreams.get(self.settings.upstream)
        if upstream:
            self.gate.configure(
                upstream.cold_limit, upstream.max_limit, upstream.warm_calls
            )
        if self._was_out and not self._is_out(document):
            # Caches and models may have been dropped while nothing ran here.
            self.gate.mark_cold()
        self._was_out = self._is_out(document)
        for link in tuple(self.links):
            link.notify_revision()
        # The revision in the report tells that the configuration is in force.
        self._broadcast_load()

    def _run_name(self):
        return f"{self.settings.upstream}/{self._rng.getrandbits(48):012x}"

    def _observe_incarnation(self, incarnation):
        self.gate.observe_incarnation(incarnation, self._now())

    def _now(self):
        return asyncio.get_running_loop().time()
