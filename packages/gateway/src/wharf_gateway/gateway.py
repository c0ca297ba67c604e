"""Assembles a gateway from its parts, and starts and stops it."""

import asyncio
import json
import time
from contextlib import suppress
from importlib import import_module
from random import Random

import structlog
from result import Err, Ok

from wharf_coordination.code import Code
from wharf_gateway.caller_limit_settings import caller_guard, operators_guard
from wharf_gateway.crash_guard import CrashGuard
from wharf_gateway.fleet import Fleet
from wharf_gateway.gateway_response import GatewayResponse
from wharf_gateway.heap_limits import return_large_buffers
from wharf_gateway.http.answer_limits import AnswerLimits
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.headers import Headers
from wharf_gateway.http_server import HttpServer
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.pause_guard import PauseGuard
from wharf_gateway.peers.configuration_exchange import ConfigurationExchange
from wharf_gateway.peers.load_exchange import LoadExchange
from wharf_gateway.peers.peer_set import PeerSet
from wharf_gateway.peers.registry import Registry
from wharf_gateway.preparation_router import PreparationRouter
from wharf_gateway.quarantine_keeper import QuarantineKeeper
from wharf_gateway.request_admission import RequestAdmission
from wharf_gateway.request_runner import RequestRunner
from wharf_gateway.rollouts.rollout_manager import RolloutManager
from wharf_gateway.routing.answer_recorder import AnswerRecorder
from wharf_gateway.routing.answer_sizes import AnswerSizes
from wharf_gateway.routing.expected_routing import ExpectedRouting
from wharf_gateway.routing.load_view import LoadView
from wharf_gateway.routing.retry_budgets import RetryBudgets
from wharf_gateway.routing.route_times import RouteTimes
from wharf_gateway.routing.upstream_limits import UpstreamLimits
from wharf_gateway.shutdown import Shutdown
from wharf_gateway.stages.piece_client import PieceClient
from wharf_gateway.store.outage import Outage
from wharf_gateway.store.store_client import StoreClient
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_feed import StoreFeed
from wharf_gateway.store.store_kind import StoreKind
from wharf_gateway.store.store_watcher import StoreWatcher
from wharf_gateway.supervision import supervised
from wharf_gateway.telemetry.exposition import expose
from wharf_gateway.telemetry.meter import Meter

__all__ = ["Gateway"]

log = structlog.get_logger(__name__)

# How long a stopping gateway still accepts connections: the balancer probes readiness
# each second and acts on the second failed probe.
UNREADY_SECONDS = 2.5
EXIT_MARGIN_SECONDS = 0.7  # part of `stop_seconds` reserved for the exit itself
# Time to answer the requests that are still there, before the process exits.
ANSWER_MARGIN_SECONDS = 0.2
TICK_SECONDS = 0.1  # between checks for expired state
# Until the last totals of usage are written to the links.
LAST_NOTICE_SECONDS = 0.05

_NO_MEMORY = GatewayResponse.not_run(Code.ENTRY_FULL, "no memory for the answer")

# A page of the store holds about a megabyte of objects, written as JSON.
STORE_LIMITS = AnswerLimits(body_bytes=8 << 20)

# Kinds whose entries change in series, when upstreams are replaced or hosts start.
COALESCED_KINDS = (StoreKind.UPSTREAMS, StoreKind.ENTRIES)


class Gateway:
    """Serve callers, follow the store and share preparations with other gateways."""

    def __init__(self, settings):
        self.settings = settings
        if settings.memory_megabytes:
            return_large_buffers()
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._rng = Random(settings.seed)
        self.meter = Meter()
        self._dialect = import_module(settings.dialect).Dialect()
        self.fleet = Fleet(self._dialect)
        self._pool = ConnectionPool(
            limits=AnswerLimits(
                head_bytes=settings.max_answer_head_bytes,
                body_bytes=settings.max_answer_bytes,
            ),
            on_unsolicited=self.record_unsolicited,
        )
        self._store_pool = ConnectionPool(limits=STORE_LIMITS)
        self._eras = StoreEras()
        self.fleet.eras = self._eras
        self._eras.callbacks.append(self._on_restoration)
        self._store = StoreClient(
            settings.store, self._dialect, self._store_pool, self._clock, self._eras
        )
        self._outage = Outage()
        self.fleet.removal_callbacks.append(
            lambda upstream: self._pool.close_idle_to(upstream.address)
        )
        client = PieceClient(self._dialect, self._pool, self._clock)
        client.answers = AnswerRecorder(self.fleet, self._dialect, self._rng)
        client.record_load = self.fleet.record_load
        self.preparation_router = PreparationRouter(
            settings, self.fleet, client, self._clock
        )
        self.preparation_router.is_ready = lambda: self.is_ready
        self.preparation_router.meter = self.meter
        self.peers = PeerSet(
            settings,
            self.preparation_router,
            self._clock,
            self._rng,
            self.preparation_router.load,
        )
        self.preparation_router.peers = self.peers
        self.rollouts = RolloutManager(
            self.fleet,
            self._dialect,
            self._store,
            self.preparation_router.owner,
            self.peers,
            self._clock,
            self._eras,
        )
        self.peers.rollouts = self.rollouts
        self.peers.greeters.append(self.rollouts.greet)
        self._configurations = ConfigurationExchange(
            self.fleet, self.peers, self._clock, self._rng
        )
        self.peers.configurations = self._configurations
        self.peers.greeters.append(self._configurations.greet)
        self.crash_guard = CrashGuard(
            settings.name, self._pool, self.peers, self._clock, self.meter
        )
        self.peers.crashes = self.crash_guard
        self._limits = UpstreamLimits(
            settings.name,
            self.fleet,
            self.peers,
            lambda: self._registry.entry_by_name,
        )
        self.peers.limits = self._limits
        client.record_limit = self._limits.record_answer
        self._quarantine_keeper = QuarantineKeeper(
            settings.name,
            self._store,
            self.crash_guard,
            self.peers,
            time.time,
            self._eras,
        )
        self._registry = Registry(
            settings, self._store, self._rng, self._on_gateway_entries, self._eras
        )
        self.feed = StoreFeed(
            settings,
            self.peers,
            self._store,
            lambda: len(self._registry.entry_by_name),
            self._clock,
            self._eras,
        )
        self.peers.feed = self.feed
        self.pause_guard = PauseGuard(self._clock(), self._ask_again, self._is_current)
        self._shutdown = Shutdown()
        self._route_times = RouteTimes()
        self._load_view = LoadView(settings.name)
        self._expected = None
        self._loads = None
        if settings.routing_policy != "by_load":
            self.fleet.load_view = self._load_view
            self._expected = ExpectedRouting(
                settings, self.fleet, self._load_view, self._rng, self.meter
            )
            self._loads = LoadExchange(
                settings.name,
                self._load_view,
                self.peers,
                lambda: self._expected.is_enabled,
                self.meter,
            )
            self.peers.loads = self._loads
            if settings.locality is not None:
                self.meter.gauge("wharf_crossing_share", self._expected.shares)
        self._guard = caller_guard(settings, self.record_limited)
        self._answer_sizes = AnswerSizes()
        self._admission = RequestAdmission(
            self.fleet,
            self._dialect,
            self._clock,
            self._shutdown,
            self._route_times,
            self._guard.budget,
        )
        budgets = RetryBudgets(
            settings.retry_share,
            settings.retry_reserve,
            lambda: len(self._registry.entry_by_name),
        )
        self._runner = RequestRunner(
            self.fleet,
            self._dialect,
            self._pool,
            self.preparation_router,
            self.rollouts,
            budgets,
            self._clock,
            self._rng,
            self.meter,
            self.crash_guard,
            self._limits,
            self._shutdown,
            self._route_times,
            settings.max_answer_bytes,
            self.pause_guard,
            self._expected,
        )
        self.duties = self._make_duties()
        self.server = HttpServer(
            settings.listen,
            CallerLimits(),
            self.handle,
            self.record_unanswered,
            self.answer_failure,
            self.record_end,
            self._guard,
        )
        self._ready_server = HttpServer(
            settings.ready_listen,
            CallerLimits(),
            self.handle_ready,
            guard=operators_guard(settings),
        )
        self._metrics_server = None
        if settings.metrics_listen:
            self._metrics_server = HttpServer(
                settings.metrics_listen,
                CallerLimits(),
                self.handle_metrics,
                guard=operators_guard(settings),
            )
        self._add_gauges()
        self._tasks = []
        self._watchers = []
        self._watch_tasks = []

    async def start(self):
        """Start listening and following the store."""
        await self._ready_server.start()
        await self.server.start()
        await self.peers.start()
        if self._metrics_server:
            await self._metrics_server.start()
        self._watchers = [
            self._watch(
                StoreKind.CONFIGURATION,
                self.fleet.apply_configurations,
                self.fleet.apply_configurations,
            ),
            self._watch_upstreams(),
            self._watch(
                StoreKind.ENTRIES,
                self._registry.replace_entries,
                self._registry.update_entries,
            ),
            self._watch(
                StoreKind.EVACUATIONS,
                self.fleet.replace_evacuations,
                self.fleet.update_evacuations,
            ),
            self._watch(
                StoreKind.ROLLOUTS,
                self.rollouts.replace_orders,
                self.rollouts.update_orders,
            ),
            self._watch(
                StoreKind.QUARANTINES,
                self._quarantine_keeper.replace_documents,
                self._quarantine_keeper.update_documents,
            ),
        ]
        self._start_watching()
        if self.duties is not None:
            self.duties.start()
        self.rollouts.wait_for_peers(self._clock())
        self._tasks = [
            supervised("tick", self._tick),
            supervised("register", self._registry.register),
            supervised("probe the store", self.feed.probe),
        ]

    async def stop(self):
        """Report not ready, finish requests in progress, and return in time."""
        began = self._clock()
        self.server.closing = True
        log.info("stopping", busy=self.server.busy_count)
        ends_at = began + self.settings.stop_seconds - EXIT_MARGIN_SECONDS
        closes_at = began + min(UNREADY_SECONDS, self.settings.stop_seconds / 2)
        self._shutdown.begin(ends_at - ANSWER_MARGIN_SECONDS, closes_at)
        self.peers.announce()
        self.preparation_router.hand_over()
        if self.duties is not None:
            self.duties.hand_over()
        await asyncio.sleep(closes_at - self._clock())
        # A caller that can't connect retries elsewhere at once, and more often than
        # one whose request is refused.
        self.server.stop_accepting()
        self.server.close_idle()
        while self._clock() < ends_at and (
            self.server.busy_count or self.preparation_router.pending_count
        ):
            await asyncio.sleep(TICK_SECONDS / 2)
            self.server.close_idle()
        if self.server.busy_count:
            # A process that was suspended meanwhile answers only now.
            await asyncio.sleep(TICK_SECONDS / 2)
        self.server.report_unanswered()
        if self.duties is not None:
            self.duties.stop()
            await asyncio.sleep(LAST_NOTICE_SECONDS)
        log.info("stopped", busy=self.server.busy_count)
        for task in (*self._tasks, *self._watch_tasks):
            task.cancel()

    @property
    def is_ready(self):
        """Return whether requests can be served."""
        return (
            not self.server.closing
            and self.fleet.configuration is not None
            and self.fleet.has_listing
        )

    async def handle_ready(self, request, responder):
        """Answer a readiness probe of the balancer."""
        is_known = request.path == self._dialect.ready_path
        responder.answer(404 if not is_known else 200 if self.is_ready else 503)

    async def handle_metrics(self, request, responder):
        """Serve the metrics and the process's state."""
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
        """Return the process's state, for operators."""
        now = self._clock()
        configuration = self.fleet.configuration
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "configuration": configuration.version if configuration else None,
            "stopping": self.server.closing,
            "busy": self.server.busy_count,
            "out_data_centres": sorted(self.fleet.out_data_centres),
            "store_era": self._eras.current,
            "store_away_kinds": [f.kind for f in self._watchers if f.unavailable_since],
            "upstreams": self.fleet.dump(now),
            "preparers": self.preparation_router.dump(now),
            "rollouts": self.rollouts.dump(now),
            "quarantine": self.crash_guard.dump(now),
            "limits": self._limits.dump(now),
            **({"loads": self._load_view.dump(now)} if self._loads else {}),
            "store_feed": self.feed.dump(now),
            **({} if self.duties is None else {"duties": self.duties.dump(now)}),
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
        meter.gauge("wharf_busy_connections", lambda: {(): self.server.busy_count})
        meter.gauge("wharf_caller_bytes", lambda: {(): self._guard.budget.used})
        meter.gauge("wharf_waiting_callers", lambda: {(): len(self._guard.turns)})
        meter.gauge(
            "wharf_caller_connections", lambda: {(): len(self.server.connections)}
        )
        meter.gauge("wharf_store_calls", lambda: {(): self._store.calls})
        meter.gauge(
            "wharf_store_unreadable_entries",
            lambda: {
                (str(kind),): watcher.unreadable_count
                for kind, watcher in self.feed.watcher_by_kind.items()
            },
        )
        meter.gauge(
            "wharf_store_watch_checks",
            lambda: {
                (str(kind), result): count
                for kind, watcher in self.feed.watcher_by_kind.items()
                for result, count in watcher.check_counts.items()
            },
        )
        meter.gauge("wharf_store_era", lambda: {(): self._eras.current or 0})
        meter.gauge("wharf_store_restorations", lambda: {(): self._eras.restorations})
        meter.gauge("wharf_upstream_connections", lambda: {(): self._pool.opened})
        meter.gauge(
            "wharf_preparing", lambda: {(): self.preparation_router.pending_count}
        )
        meter.gauge("wharf_upstreams", lambda: self.fleet.counts(self._clock()))

    async def handle(self, request, responder):
        """Serve one request of a caller."""
        await self._wait_sure()
        match await self._admission.admit(request):
            case Err(answer):
                self._reject(request, responder, answer)
            case Ok(context):
                route = context.route.name
                if responder.reserve(self._answer_sizes.expected(route)):
                    await self._runner.run(context, responder)
                    if responder.status and responder.status < 300:
                        self._answer_sizes.record(route, responder.body_bytes)
                else:
                    self._reject(request, responder, _NO_MEMORY)

    def _reject(self, request, responder, answer):
        log.info(
            "rejected",
            request=request.headers.get(self._dialect.id_field),
            status=answer.status,
            code=answer.code.label,
            detail=answer.detail,
        )
        self.meter.count("wharf_requests", "none", answer.status, answer.code.label)
        responder.answer(answer.status, answer.headers, answer.body)

    async def _wait_sure(self):
        """Wait until decisions may be made, at most until the process stops."""
        with suppress(TimeoutError):
            async with asyncio.timeout(None) as scope:
                with self._shutdown.bounding(scope, 0.0):
                    await self.pause_guard.wait_sure(self._clock)

    def record_unanswered(self, request, reason):
        """Count a request whose connection ended without a response, and log it."""
        self.meter.count("wharf_unanswered_requests", reason)
        log.warning(
            "unanswered",
            request=request.headers.get(self._dialect.id_field),
            reason=reason,
            seconds=round(self._clock() - request.received_at, 3),
        )

    def record_end(self, end, request):
        """Count a connection that ended, and log the request that was cut with it."""
        self.meter.count(
            "wharf_connection_ends", end, "no" if request is None else "yes"
        )
        if request is None:
            return
        log.info(
            "connection_cut",
            request=request.headers.get(self._dialect.id_field),
            end=end,
            is_read=request.is_read,
            seconds=round(self._clock() - request.received_at, 3),
        )

    def record_unsolicited(self, address, cause, is_cut):
        """Count and log a connection on which an upstream sent unsolicited data."""
        end = f"upstream_{cause}"
        self.meter.count("wharf_connection_ends", end, "yes" if is_cut else "no")
        log.info(
            "upstream_data_unsolicited",
            upstreams=[s.upstream.id for s in self.fleet.states_at(address)],
            address=address,
            cause=cause,
            is_cut=is_cut,
        )

    def record_limited(self, cause, connection):
        """Count a caller to which a limit on untrusted clients was applied."""
        self.meter.count("wharf_limited_callers", cause)
        log.info(
            "caller_limited",
            cause=cause,
            caller=connection.caller,
            held=self._guard.budget.used,
            connections=len(self.server.connections),
        )

    def answer_failure(self, request, responder, error):
        """Answer a request whose handler raised `error`, count it and log it."""
        answer = GatewayResponse(500, Code.INTERNAL)
        self.meter.count("wharf_requests", "none", answer.status, answer.code.label)
        log.error(
            "request_failed",
            request=request.headers.get(self._dialect.id_field),
            exc_info=error,
        )
        if not responder.is_started:
            responder.answer(answer.status, answer.headers, answer.body)

    def _make_duties(self):
        """Return the duties that the settings name, or None."""
        settings = self.settings.duties
        if settings is None or "usage" not in settings.names:
            return None
        # Imported here, since other deployments don't need it at their start.
        from wharf_gateway.duties.duties import Duties

        duties = Duties(
            self.settings,
            self._dialect,
            self._pool,
            STORE_LIMITS,
            self._eras,
            self.peers,
            lambda: self.fleet.gateway_count,
            self._clock,
            time.time,
            self.meter,
        )
        self.peers.duties = duties
        self.peers.greeters.append(duties.greet)
        self._runner.usage = duties.hooks
        return duties

    def _watch(self, kind, on_listing, on_changes):
        return StoreWatcher(
            self._store,
            kind,
            on_listing,
            on_changes,
            self._outage,
            self._clock,
            self._rng,
            coalesces=kind in COALESCED_KINDS,
            feed=self.feed,
            eras=self._eras,
        )

    def _watch_upstreams(self):
        def on_listing(objects, now):
            self.fleet.replace_upstreams(objects, now, watcher.recovered_at)

        def on_changes(objects, now):
            self.fleet.update_upstreams(objects, now, watcher.recovered_at)

        watcher = self._watch(StoreKind.UPSTREAMS, on_listing, on_changes)
        self.fleet.is_store_readable = lambda: watcher.is_watching
        return watcher

    def _on_gateway_entries(self, entry_by_name):
        self.fleet.gateway_count = max(1, len(entry_by_name))
        self.peers.update_peers(entry_by_name)

    def _ask_again(self):
        """Read all kinds from the store again, on connections of their own."""
        for task in self._watch_tasks:
            task.cancel()
        self._store_pool.close()
        for watcher in self._watchers:
            watcher.position = None
        self._start_watching()

    def _start_watching(self):
        self._watch_tasks = [
            supervised(f"watch {f.kind}", f.run) for f in self._watchers
        ]

    def _is_current(self):
        return all(watcher.position is not None for watcher in self._watchers)

    def _on_restoration(self, now):
        """Leave the connections to the store as it was before it was restored."""
        self._store_pool.close()

    def _apply_configuration(self, configuration):
        if self.server.limits is not configuration.limits:
            self.server.limits = configuration.limits
            names = {route.name for route in configuration.routes}
            self._route_times.retain(names)
            self._answer_sizes.retain(names)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            self.pause_guard.step(now)
            self.feed.advance(now)
            self._registry.advance(now)
            self._configurations.advance(now)
            self.fleet.remove_expired(now)
            self.fleet.advance_evacuations(now)
            self.fleet.decay_paces(TICK_SECONDS)
            if self.fleet.configuration:
                self._apply_configuration(self.fleet.configuration)
            self.preparation_router.advance(now)
            self.rollouts.advance(now)
            self._limits.advance(now)
            if self._loads is not None:
                self._load_view.retain(self.fleet.state_by_id.keys())
                self._loads.advance(now)
            self.crash_guard.advance(now)
            self._quarantine_keeper.advance(now)
