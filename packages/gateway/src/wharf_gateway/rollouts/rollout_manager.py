"""A gateway's part in rollouts: canary routing, samples, and driving a rollout."""

import asyncio

import structlog
import xxhash
from result import Err

from wharf_coordination.rollout import RolloutOutcome
from wharf_gateway.peers.messages import RolloutSample, ShareNotice
from wharf_gateway.rollouts.rollout_progress import RolloutProgress
from wharf_gateway.stages.pool import Pool
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["RolloutManager"]

log = structlog.get_logger(__name__)

HASH_RANGE = 2**64
DRIVER_POOL = Pool.named("rollouts")  # the gateway that owns it drives all rollouts
WRITE_INTERVAL_SECONDS = 0.3  # least time between writes of an outcome


class RolloutManager:
    """Route a share of requests to new versions, and evaluate them on one gateway.

    The driving gateway is chosen like the owner of a pool. It receives the samples of
    all gateways, sends them the new version's share ten times a second and writes the
    outcome to the store. A gateway without a recent share sends nothing to the new
    version. `owner_of(pool, now)` returns the link to the owner, None if it is this
    gateway.
    """

    def __init__(self, fleet, dialect, store, owner_of, peers, clock):
        self._fleet = fleet
        self._dialect = dialect
        self._store = store
        self._owner_of = owner_of
        self._peers = peers
        self._clock = clock
        self.progress_by_service = {}
        self.driver_by_service = {}
        self._write_by_service = {}

    def apply_orders(self, objects, now):
        """Apply rollout orders that were listed, created or changed."""
        for stored in objects:
            if stored.is_deleted:
                continue
            match self._dialect.read_rollout(stored):
                case Err(fault):
                    log.warning("rollout_unreadable", name=stored.name, detail=fault)
                case answer:
                    self._apply_order(answer.unwrap(), now)

    def is_canary(self, service, call_id, now):
        """Return whether a request goes to the service's new version.

        This depends on a hash of the new version and the call's ID.
        """
        progress = self.progress_by_service.get(service)
        if progress is None:
            return False
        name = f"{progress.order.target}/{call_id}".encode()
        return xxhash.xxh3_64_intdigest(name) < progress.share_at(now) * HASH_RANGE

    def record_attempt(self, upstream, route_name, in_flight, failed, seconds, now):
        """Send the outcome of an attempt to the driver if a rollout is running."""
        progress = self.progress_by_service.get(upstream.service)
        if progress is None or not progress.order.is_open:
            return
        link = self._owner_of(DRIVER_POOL, now)
        sample = RolloutSample(
            upstream.service,
            upstream.version,
            route_name,
            in_flight,
            failed,
            seconds,
            upstream.cold_until > now - seconds,
        )
        if link is None:
            self.add_sample(sample, now)
        else:
            link.post(sample)

    def add_sample(self, message, now):
        """Add a sample of any gateway to the rollout that is driven here."""
        driver = self.driver_by_service.get(message.service)
        if driver is not None:
            driver.add(message, now)

    def handle_share_notice(self, message, now):
        """Apply the share that the driving gateway has sent."""
        progress = self.progress_by_service.get(message.service)
        if progress is not None and progress.order.target == message.target:
            progress.update_share(message.share, message.elapsed, now)

    def advance(self, now):
        """Drive the open rollouts if this gateway is chosen, and send their shares."""
        for service, progress in self.progress_by_service.items():
            if (
                not progress.order.is_open
                or self._owner_of(DRIVER_POOL, now) is not None
            ):
                self.driver_by_service.pop(service, None)
                continue
            driver = self._driver(service, progress, now)
            if driver is None:
                continue
            driver.advance(now)
            share = driver.share(now)
            progress.update_share(share, now - progress.began_at, now)
            notice = ShareNotice(
                service, progress.order.target, share, now - progress.began_at
            )
            self._peers.post_all(notice)
            outcome = driver.outcome or RolloutOutcome.RUNNING
            if outcome is not progress.order.outcome:
                self._write(progress.order, outcome, driver.reason)

    def dump(self, now):
        """Return the state of each service's last rollout, for operators."""
        return {
            service: {
                "target": progress.order.target,
                "outcome": progress.order.outcome,
                "share": progress.share_at(now),
                "seconds": round(now - progress.began_at, 1),
                "driven_here": service in self.driver_by_service,
            }
            for service, progress in self.progress_by_service.items()
        }

    def _apply_order(self, order, now):
        self._fleet.apply_order(order)
        progress = self.progress_by_service.get(order.service)
        if progress is not None and order.is_same_rollout(progress.order):
            progress.order = order
        else:
            self.driver_by_service.pop(order.service, None)
            self.progress_by_service[order.service] = RolloutProgress(order, now)
        log.info(
            "rollout",
            service=order.service,
            target=order.target,
            duration=order.duration,
            outcome=order.outcome,
            revision=order.revision,
        )

    def _driver(self, service, progress, now):
        if service not in self.driver_by_service:
            old_version = self._fleet.version(service)
            if old_version is None:
                return None
            # Imported on first use: these modules take a tenth of the start-up time.
            from wharf_gateway.rollouts.rollout_driver import RolloutDriver

            driver = RolloutDriver.begin(progress, old_version, now)
            self.driver_by_service[service] = driver
        return self.driver_by_service[service]

    def _write(self, order, outcome, reason):
        if order.service in self._write_by_service:
            return
        task = asyncio.ensure_future(self._write_outcome(order, outcome, reason))
        self._write_by_service[order.service] = task
        task.add_done_callback(lambda _: self._write_by_service.pop(order.service))

    async def _write_outcome(self, order, outcome, reason):
        """Write the outcome once; the watch returns what the store then holds."""
        status = self._dialect.rollout_status(order.target, outcome)
        answer = await self._store.replace_status(
            StoreKind.ROLLOUTS, order.name, status, order.revision
        )
        log.info(
            "rollout_written",
            service=order.service,
            target=order.target,
            outcome=outcome,
            reason=reason,
            revision=order.revision,
            fault=answer.unwrap_err().detail if answer.is_err() else None,
        )
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)
