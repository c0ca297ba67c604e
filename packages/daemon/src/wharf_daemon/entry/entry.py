"""The entry process, which serves callers behind the load balancer."""

import asyncio
import uuid
from collections import Counter
from dataclasses import asdict
from itertools import count
from random import Random

import aiohttp
import structlog

from wharf_daemon.configuration_feed import ConfigurationFeed
from wharf_daemon.configuration_fetcher import ConfigurationFetcher
from wharf_daemon.entry.admission import Admission
from wharf_daemon.entry.attempt_runner import AttemptRunner
from wharf_daemon.entry.caller_api import CallerApi
from wharf_daemon.entry.claim_service import ClaimService
from wharf_daemon.entry.crash_guard import CrashGuard
from wharf_daemon.entry.forwarded_claims import ForwardedClaims
from wharf_daemon.entry.host_poller import HostPoller
from wharf_daemon.entry.link_set import LinkSet
from wharf_daemon.entry.order_sender import OrderSender
from wharf_daemon.entry.pending_replies import PendingReplies
from wharf_daemon.entry.pipeline_runner import PipelineRunner
from wharf_daemon.entry.policy import EntryPolicy
from wharf_daemon.entry.request_reader import RequestReader
from wharf_daemon.entry.rollout_controller import RolloutController
from wharf_daemon.entry.rollout_table import RolloutTable
from wharf_daemon.entry.running_requests import RunningRequests
from wharf_daemon.entry.stage_runner import StageRunner
from wharf_daemon.entry.time_budget import TimeBudget
from wharf_daemon.entry.version_loader import VersionLoader
from wharf_daemon.entry.version_router import VersionRouter
from wharf_daemon.fact_feed import FactFeed
from wharf_daemon.http_server import HttpServer
from wharf_daemon.metrics import Metrics
from wharf_daemon.operators_api import OperatorsApi
from wharf_daemon.supervision import supervised
from wharf_platform import CallLimiter, ObjectClient
from wharf_wire import Hello

__all__ = ["Entry"]

# Time to send the answers of requests that the stop has ended.
LAST_ANSWERS_SECONDS = 1.0
LAST_REQUESTS_SECONDS = 0.1

log = structlog.get_logger(__name__)


class Entry:
    """Accept callers' requests and run their pipelines on the upstreams."""

    def __init__(self, settings, policy=None):
        self.settings = settings
        self.metrics = Metrics()
        self.feed = ConfigurationFeed(self.metrics)
        self.facts = FactFeed()
        self.stopping = False
        self.unanswered_by_reason = Counter()
        self._rng = Random(settings.seed)
        self._policy = policy or EntryPolicy.standard(self._rng, settings.data_centre)
        # Not seeded: request ids must differ between restarts.
        self._incarnation = uuid.uuid4().hex[:12]
        self._request_numbers = count()
        self.requests = RunningRequests(settings.max_requests)
        self.metrics.running.set_function(lambda: len(self.requests))
        self.fetcher = ConfigurationFetcher(self.feed, self._rng)
        self.links = LinkSet(self, self._rng)
        self.replies = PendingReplies(f"{settings.name}-{self._incarnation}")
        self.orders = OrderSender(self.links, self.feed, self.replies)

    async def start(self):
        """Start the servers, the background tasks and the links to sidecars."""
        self._session = aiohttp.ClientSession()
        self.store = ObjectClient(
            self._session, self.settings.platform, limiter=CallLimiter(self._rng)
        )
        self.store.limiter.calls.subscribe(self._count_store_call)
        # Idle connections may have gone silent together with that of a watch.
        self._watch_session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        watched = ObjectClient(
            self._watch_session,
            self.settings.platform,
            limiter=self.store.limiter,
            eras=self.store.eras,
        )
        self._callers = HttpServer(
            self._caller_application(), self.settings.listen, LAST_ANSWERS_SECONDS
        )
        self._operators = HttpServer(
            OperatorsApi(self, self.metrics).application(),
            self.settings.operators_listen,
        )
        await self._callers.start()
        await self._operators.start()
        self.feed.documents.subscribe(self._on_document)
        self.facts.new_facts.subscribe(self._broadcast_facts)
        self._store_watcher = supervised(
            "watch store", lambda: self.feed.watch_store(watched, self._rng)
        )
        self._admission_task = supervised("admit calls", self.admission.run)
        hosts = HostPoller(self.store, self.feed, self.links, self._rng)
        self._host_poller = supervised("poll hosts", hosts.run)
        self._claim_service.start()
        self._rollout_task = supervised("run rollouts", self._rollout_controller().run)

    @property
    def port(self):
        """Return the port on which callers connect."""
        return self._callers.port

    @property
    def operators_port(self):
        """Return the port of the operators' API."""
        return self._operators.port

    async def stop(self):
        """Report not ready, finish running requests, then shut down."""
        self.stopping = True
        log.info("stopping", running=len(self.requests))
        drain_delay, grace = self.settings.drain_delay, self.settings.stop_grace
        now = asyncio.get_running_loop().time()
        self.admission.end_at(now + drain_delay + grace)
        # The load balancer sends requests here until its next readiness check.
        await asyncio.sleep(drain_delay)
        if not await self.requests.wait_until_idle(grace):
            log.warning("stop_grace_spent", running=len(self.requests))
        self.requests.end()
        # Requests that are on their way get a refusal rather than a closed connection.
        await asyncio.sleep(LAST_REQUESTS_SECONDS)
        await self.requests.wait_until_idle(LAST_ANSWERS_SECONDS)
        for request_id in self.requests:
            self.count_unanswered(request_id, "process_ended")
        await self._callers.stop(LAST_REQUESTS_SECONDS)
        await self._claim_service.stop(self.settings.stop_grace)
        self._store_watcher.cancel()
        self._admission_task.cancel()
        self._host_poller.cancel()
        self._rollout_task.cancel()
        await asyncio.gather(self._rollout_task, return_exceptions=True)
        self.links.close()
        await self._session.close()
        await self._watch_session.close()
        await self._operators.stop()

    def is_ready(self):
        """Return whether the load balancer may send requests here."""
        return not self.stopping and self.feed.document.revision > 0

    def hello(self):
        """Return the greeting for a new link."""
        settings = self.settings
        return Hello(settings.name, settings.data_centre, self.feed.document.revision)

    def next_request_id(self):
        """Return a request id that is unique among all entries."""
        return f"{self.settings.name}-{self._incarnation}-{next(self._request_numbers)}"

    def count_unanswered(self, request_id, reason):
        """Count a request that ends without an answer though its caller stayed."""
        self.unanswered_by_reason[reason] += 1
        self.metrics.unanswered_requests.labels(reason).inc()
        log.error("request_unanswered", request=request_id, reason=reason)

    def dump(self):
        """Return the state as a dictionary for JSON."""
        return {
            "name": self.settings.name,
            "data_centre": self.settings.data_centre,
            "revision": self.feed.document.revision,
            "stopping": self.stopping,
            "running": len(self.requests),
            "waiting": self.admission.dump(),
            "unanswered": self.unanswered_by_reason,
            "store_calls": self.store.calls_by_kind,
            "claims": self._claim_service.dump(),
            "facts": self.facts.dump(),
            "rollouts": self.rollouts.dump(),
            "links": [
                {
                    "address": address,
                    "upstream": link.name,
                    "open": link.is_open,
                    "in_flight": link.in_flight,
                    "revision": link.load.revision if link.load else None,
                    "load": asdict(link.load) if link.load else None,
                }
                for address, link in sorted(self.links.by_address.items())
            ],
        }

    def _rollout_controller(self):
        name = f"{self.settings.name}-{self._incarnation}"
        loader = VersionLoader(self.orders, self.feed, self.settings.max_loads)
        return RolloutController(
            name,
            self.store,
            self.rollouts,
            self.facts,
            loader,
            self.metrics,
            self._rng,
        )

    def _caller_application(self):
        settings = self.settings
        self.rollouts = RolloutTable(self.feed, self.facts)
        attempt_runner = AttemptRunner(self.links, self.feed)
        self.outcomes = attempt_runner.outcomes
        self.outcomes.subscribe(self._count_attempt)
        self.outcomes.subscribe(self.rollouts.add_outcome)
        crash_guard = CrashGuard(attempt_runner, self.facts, self._incarnation)
        budget = TimeBudget(self.feed, self._policy.outliers)
        self.outcomes.subscribe(budget.observe)
        self.admission = Admission(
            self.links,
            self.feed,
            VersionRouter(self.feed, self.rollouts, self.links),
            self._policy,
            budget,
            settings.max_requests,
        )
        stage_runner = StageRunner(
            self.links,
            self.feed,
            self.admission,
            self._policy,
            crash_guard,
            settings.max_answer,
        )
        claim_store = ForwardedClaims(
            self.store, self._rng, self.links, self.feed, self.replies
        )
        name = f"{settings.name}-{self._incarnation}"
        self._claim_service = ClaimService(stage_runner, claim_store, name, self._rng)
        runner = PipelineRunner(
            self._claim_service.runner, self.feed, self.metrics, crash_guard
        )
        reader = RequestReader(self.feed, settings.max_body)
        return CallerApi(self, reader, runner, settings.max_body).application()

    def _count_attempt(self, outcome):
        labels = (outcome.task.stage.name, outcome.code.label)
        self.metrics.attempts.labels(*labels).inc()

    def _count_store_call(self, kind):
        self.metrics.store_calls.labels(kind).inc()

    def _broadcast_facts(self, message):
        asyncio.ensure_future(self.links.send_all(message))

    def _on_document(self, document):
        self.links.apply_configuration(document)
        self.links.notify_revision()
