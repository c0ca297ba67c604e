"""The gateway: takes callers' requests and answers for their outcome."""

import asyncio
import json
from importlib import import_module
from random import Random

import structlog
from result import Err, Ok

from wharf_gateway.fleet import Fleet
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.headers import Headers
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.peers.peer_set import PeerSet
from wharf_gateway.peers.registry import Registry
from wharf_gateway.preparers import Preparers
from wharf_gateway.request_admission import RequestAdmission
from wharf_gateway.request_runner import RequestRunner
from wharf_gateway.rollouts.rollout_manager import RolloutManager
from wharf_gateway.routing.retry_budgets import RetryBudgets
from wharf_gateway.site import Site
from wharf_gateway.stages.piece_caller import PieceCaller
from wharf_gateway.store.outage import Outage
from wharf_gateway.store.store_client import StoreClient
from wharf_gateway.store.store_kind import StoreKind
from wharf_gateway.store.store_watcher import StoreWatcher
from wharf_gateway.telemetry.exposition import expose
from wharf_gateway.telemetry.meter import Meter

__all__ = ["Gateway"]

log = structlog.get_logger(__name__)

# The balancer asks each second and believes the second refusal.
NOTICE_SECONDS = 2.5
EXIT_MARGIN_SECONDS = 0.7  # of the stop's time that is left for leaving
TICK_SECONDS = 0.1  # how often what has expired is looked for

# Entries come and go in series, when upstreams are replaced or hosts start.
GATHERED_KINDS = (StoreKind.UPSTREAMS, StoreKind.ENTRIES)


class Gateway:
    """Serve callers, follow the store, and share work with the other gateways."""

    def __init__(self, settings):
        self.settings = settings
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._rng = Random(settings.seed)
        self.meter = Meter()
        self._dialect = import_module(settings.dialect).Dialect()
        self.fleet = Fleet(self._dialect)
        self._pool = ConnectionPool()
        self._store_pool = ConnectionPool()
        self._store = StoreClient(
            settings.store, self._dialect, self._store_pool, self._clock
        )
        self._outage = Outage()
        self.fleet.on_gone.append(
            lambda upstream: self._pool.close_idle_to(upstream.address)
        )
        caller = PieceCaller(self._dialect, self._pool, self._clock)
        self.preparers = Preparers(settings, self.fleet, caller, self._clock)
        self.preparers.is_ready = lambda: self.is_ready
        self.peers = PeerSet(
            settings, self.preparers, self._clock, self._rng, self.preparers.load
        )
        self.preparers.peers = self.peers
        self.rollouts = RolloutManager(
            self.fleet,
            self._dialect,
            self._store,
            self.preparers.owner,
            self.peers,
            self._clock,
        )
        self.peers.rollouts = self.rollouts
        self._registry = Registry(settings, self._store, self._rng, self._on_gateways)
        self._admission = RequestAdmission(self.fleet, self._dialect, self._clock)
        budgets = RetryBudgets(
            settings.retry_share,
            settings.retry_reserve,
            lambda: len(self._registry.entry_by_name),
        )
        self._runner = RequestRunner(
            self.fleet,
            self._dialect,
            self._pool,
            self.preparers,
            self.rollouts,
            budgets,
            self._clock,
            self._rng,
            self.meter,
        )
        self.site = Site(settings.listen, CallerLimits(), self.handle)
        self._ready_site = Site(
            settings.ready_listen, CallerLimits(), self.handle_ready
        )
        self._metrics_site = None
        if settings.metrics_listen:
            self._metrics_site = Site(
                settings.metrics_listen, CallerLimits(), self.handle_metrics
            )
        self._add_gauges()
        self._tasks = []

    async def start(self):
        """Listen, and begin to follow the store."""
        await self._ready_site.start()
        await self.site.start()
        await self.peers.start()
        if self._metrics_site:
            await self._metrics_site.start()
        self._followers = [
            self._follow(
                StoreKind.CONFIGURATION,
                self.fleet.take_configurations,
                self.fleet.take_configurations,
            ),
            self._follow_upstreams(),
            self._follow(
                StoreKind.ENTRIES,
                self._registry.replace_entries,
                self._registry.update_entries,
            ),
            self._follow(
                StoreKind.EVACUATIONS,
                self.fleet.list_evacuations,
                self.fleet.change_evacuations,
            ),
            self._follow(
                StoreKind.ROLLOUTS,
                self.rollouts.apply_orders,
                self.rollouts.apply_orders,
            ),
        ]
        self._tasks = [asyncio.create_task(f.run()) for f in self._followers]
        self._tasks.append(asyncio.create_task(self._tick()))
        self._tasks.append(asyncio.create_task(self._registry.register()))

    async def stop(self):
        """Show not ready, answer what was read, and leave in time."""
        began = self._clock()
        self.site.closing = True
        log.info("stopping", busy=self.site.busy)
        ends_at = began + self.settings.stop_seconds - EXIT_MARGIN_SECONDS
        self._admission.ends_at = ends_at
        await asyncio.sleep(min(NOTICE_SECONDS, self.settings.stop_seconds / 2))
        # A caller without a connection tries elsewhere at once, and more often than
        # one that was refused.
        self.site.stop_accepting()
        self.site.close_idle()
        while self._clock() < ends_at and (self.site.busy or self.preparers.busy):
            await asyncio.sleep(TICK_SECONDS / 2)
            self.site.close_idle()
        log.info("stopped", busy=self.site.busy)
        for task in self._tasks:
            task.cancel()

    @property
    def is_ready(self):
        """Return whether callers can be served."""
        return (
            not self.site.closing
            and self.fleet.configuration is not None
            and self.fleet.is_listed
        )

    async def handle_ready(self, request, responder):
        """Answer the balancer."""
        is_known = request.path == self._dialect.ready_path
        responder.answer(404 if not is_known else 200 if self.is_ready else 503)

    async def handle_metrics(self, request, responder):
        """Answer a scrape, or show the process's state."""
        match request.path:
            case "/metrics":
                kind, body = "text/plain; version=0.0.4", expose(self.meter)
            case "/state":
                kind, body = "application/json", json.dumps(self.dump()).encode()
            case _:
                responder.answer(404)
                return
        responder.answer(200, Headers((("Content-Type", kind),)), body)

    def dump(self):
        """Return the process's state for operators."""
        now = self._clock()
        configuration = self.fleet.configuration
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "configuration": configuration.version if configuration else None,
            "stopping": self.site.closing,
            "busy": self.site.busy,
            "out_data_centres": sorted(self.fleet.out_data_centres),
            "store_away_kinds": [
                f.kind for f in self._followers if f.unavailable_since
            ],
            "upstreams": self.fleet.dump(now),
            "preparers": self.preparers.dump(now),
            "rollouts": self.rollouts.dump(now),
            "peers": {
                name: {
                    "ready": link.is_ready,
                    "heard_seconds_ago": round(now - link.last_received_at, 3),
                    "backlog_by_pool": link.backlog_by_pool,
                }
                for name, link in self.peers.link_by_name.items()
            },
        }

    def _add_gauges(self):
        meter = self.meter
        meter.gauge("wharf_busy_connections", lambda: {(): self.site.busy})
        meter.gauge("wharf_store_calls", lambda: {(): self._store.calls})
        meter.gauge("wharf_upstream_connections", lambda: {(): self._pool.opened})
        meter.gauge("wharf_preparing", lambda: {(): self.preparers.busy})
        meter.gauge("wharf_upstreams", lambda: self.fleet.counts(self._clock()))

    async def handle(self, request, responder):
        """Answer one request of a caller."""
        match await self._admission.admit(request):
            case Err(answer):
                log.info(
                    "rejected",
                    request=request.headers.get(self._dialect.id_field),
                    status=answer.status,
                    code=answer.code.label,
                    detail=answer.detail,
                )
                self.meter.count(
                    "wharf_requests", "none", answer.status, answer.code.label
                )
                responder.answer(answer.status, answer.headers, answer.body)
            case Ok(context):
                await self._runner.run(context, responder)

    def _follow(self, kind, on_listing, on_changes):
        return StoreWatcher(
            self._store,
            kind,
            on_listing,
            on_changes,
            self._outage,
            self._clock,
            self._rng,
            coalesces=kind in GATHERED_KINDS,
        )

    def _follow_upstreams(self):
        def on_listing(objects, now):
            self.fleet.list_upstreams(objects, now, follower.recovered_at)

        def on_changes(objects, now):
            self.fleet.change_upstreams(objects, now, follower.recovered_at)

        follower = self._follow(StoreKind.UPSTREAMS, on_listing, on_changes)
        return follower

    def _on_gateways(self, entry_by_name):
        self.fleet.entry_count = max(1, len(entry_by_name))
        self.peers.update_peers(entry_by_name)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            self.fleet.expire_lapsed(now)
            self.fleet.fade_paces(TICK_SECONDS)
            if self.fleet.configuration:
                self.site.limits = self.fleet.configuration.limits
            self.preparers.advance(now)
            self.rollouts.advance(now)
