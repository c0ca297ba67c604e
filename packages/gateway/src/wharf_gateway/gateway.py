"""The gateway: takes callers' requests and answers for their outcome."""

import asyncio
from importlib import import_module
from random import Random

import structlog
from result import Err, Ok

from wharf_coordination.code import Code
from wharf_coordination.retry_budget import RetryBudget
from wharf_gateway.fleet import Fleet
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.own_answer import OwnAnswer
from wharf_gateway.request_context import RequestContext
from wharf_gateway.request_runner import RequestRunner
from wharf_gateway.site import Site
from wharf_gateway.stages.piece_caller import PieceCaller
from wharf_gateway.stages.piece_router import PieceRouter
from wharf_gateway.stages.step_runner import StepRunner
from wharf_gateway.store.follower import Follower
from wharf_gateway.store.store_client import StoreClient
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["Gateway"]

log = structlog.get_logger(__name__)

# The balancer asks each second and believes the second refusal.
NOTICE_SECONDS = 2.5
EXIT_MARGIN_SECONDS = 0.7  # of the stop's time that is left for leaving
TICK_SECONDS = 0.1  # how often what has expired is looked for


class Gateway:
    """Serve callers, follow the store, and share work with the other gateways."""

    def __init__(self, settings):
        self.settings = settings
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self._rng = Random(settings.seed)
        self._dialect = import_module(settings.dialect).Dialect()
        self.fleet = Fleet(self._dialect)
        self._pool = ConnectionPool()
        self._store_pool = ConnectionPool()
        self._store = StoreClient(
            settings.store, self._dialect, self._store_pool, self._clock
        )
        self.fleet.on_gone.append(lambda upstream: self._pool.forget(upstream.address))
        caller = PieceCaller(self._dialect, self._pool, self._clock)
        self.router = PieceRouter(self.fleet, caller, self._clock)
        self._steps = StepRunner(self.fleet, self.router, self._clock)
        share = settings.retry_reserve / 8
        budget = RetryBudget(settings.retry_share / 2, share, share)
        self._runner = RequestRunner(
            self.fleet,
            self._dialect,
            self._pool,
            self._steps,
            budget,
            self._clock,
            self._rng,
        )
        self.site = Site(settings.listen, CallerLimits(), self.handle)
        self._ready_site = Site(
            settings.ready_listen, CallerLimits(), self.handle_ready
        )
        self._tasks = []

    async def start(self):
        """Listen, and begin to follow the store."""
        await self._ready_site.start()
        await self.site.start()
        self._followers = [
            self._follow(
                StoreKind.CONFIGURATION,
                self.fleet.take_configurations,
                self.fleet.take_configurations,
            ),
            self._follow_upstreams(),
            self._follow(
                StoreKind.EVACUATIONS,
                self.fleet.list_evacuations,
                self.fleet.change_evacuations,
            ),
        ]
        self._tasks = [asyncio.create_task(f.run()) for f in self._followers]
        self._tasks.append(asyncio.create_task(self._tick()))

    async def stop(self):
        """Show not ready, answer what was read, and leave in time."""
        began = self._clock()
        self.site.closing = True
        log.info("stopping", busy=self.site.busy)
        await asyncio.sleep(min(NOTICE_SECONDS, self.settings.stop_seconds / 2))
        self.site.stop_accepting()
        self.site.close_idle()
        end = began + self.settings.stop_seconds - EXIT_MARGIN_SECONDS
        while self.site.busy and self._clock() < end:
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

    async def handle(self, request, responder):
        """Answer one request of a caller."""
        match await self._admit(request):
            case Err(answer):
                log.info(
                    "rejected",
                    request=request.headers.get(self._dialect.id_field),
                    status=answer.status,
                    code=answer.code.label,
                    detail=answer.detail,
                )
                responder.answer(answer.status, answer.headers, answer.body)
            case Ok(context):
                await self._runner.run(context, responder)

    async def _admit(self, request):
        configuration = self.fleet.configuration
        if configuration is None:
            return Err(OwnAnswer.not_run(Code.NOT_CONFIGURED, "no configuration yet"))
        host = request.headers.get("host", "")
        route = configuration.find_route(host, request.path)
        if route is None:
            return Err(OwnAnswer(404, Code.UNKNOWN_PATH, f"{host} {request.path}"))
        match self._dialect.read_call(request.headers):
            case Err(fault):
                return Err(OwnAnswer(400, Code.BAD_HEADER, fault))
            case Ok(details):
                pass
        customer = configuration.customer_by_key.get(details.key or "")
        if configuration.has_customers and customer is None and not route.is_public:
            return Err(OwnAnswer(401, Code.UNKNOWN_CUSTOMER, "unknown key"))
        if request.too_large:
            return Err(OwnAnswer(413, Code.BODY_TOO_LARGE, ""))
        seconds = route.timeout
        if details.seconds is not None:
            seconds = min(seconds, details.seconds)
        deadline = request.received_at + seconds
        try:
            async with asyncio.timeout_at(deadline):
                await request.body_complete.wait()
        except TimeoutError:
            return Err(OwnAnswer(408, Code.DEADLINE_PASSED, "the body didn't arrive"))
        if request.too_large:
            return Err(OwnAnswer(413, Code.BODY_TOO_LARGE, ""))
        context = RequestContext(
            request,
            route,
            details,
            customer,
            configuration.has_customers,
            request.received_at + route.target_latency,
            deadline,
            self.settings.data_centre,
        )
        return Ok(context)

    def _follow(self, kind, on_listing, on_changes):
        return Follower(
            self._store, kind, on_listing, on_changes, self._clock, self._rng
        )

    def _follow_upstreams(self):
        def on_listing(objects, now):
            self.fleet.list_upstreams(objects, now, follower.regained_at)

        def on_changes(objects, now):
            self.fleet.change_upstreams(objects, now, follower.regained_at)

        follower = self._follow(StoreKind.UPSTREAMS, on_listing, on_changes)
        return follower

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            self.fleet.expire_lapsed(now)
            if self.fleet.configuration:
                self.site.limits = self.fleet.configuration.limits
            for collector in list(self.router.collector_by_pool.values()):
                collector.advance(now)
