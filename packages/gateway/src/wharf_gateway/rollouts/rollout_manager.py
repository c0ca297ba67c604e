"""A gateway's part in rollouts: routing, samples, and driving where it is chosen."""

import asyncio

import structlog
import xxhash
from result import Err

from wharf_coordination.rollout import RolloutOutcome
from wharf_gateway.peers.messages import TrialNotice, TrialSample
from wharf_gateway.rollouts.trial import Trial
from wharf_gateway.stages.pool import Pool
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["RolloutManager"]

log = structlog.get_logger(__name__)

HASH_RANGE = 2**64
DRIVERS_POOL = Pool.named("rollouts")  # whose preparer drives rollouts
WRITE_PAUSE_SECONDS = 0.3  # between tries to write an outcome


class RolloutManager:
    """Route a share of requests to new versions, judge them, and write outcomes.

    One gateway, chosen as preparers are, gets the samples of all, tells the share
    ten times a second and writes what became of the order. A gateway that doesn't
    hear of the share sends nothing to the new version.
    """

    def __init__(self, fleet, dialect, store, owner_of, peers, clock):
        self._fleet = fleet
        self._dialect = dialect
        self._store = store
        self._owner_of = owner_of
        self._peers = peers
        self._clock = clock
        self.trial_by_service = {}
        self.driver_by_service = {}
        self._write_by_service = {}

    def apply_orders(self, objects, now):
        """Take orders that are listed, came or changed."""
        for stored in objects:
            if stored.is_deleted:
                continue
            match self._dialect.read_rollout(stored):
                case Err(fault):
                    log.warning("rollout_unreadable", name=stored.name, detail=fault)
                case answer:
                    self._take(answer.unwrap(), now)

    def is_on_trial(self, service, call_id, now):
        """Return whether a request goes to the service's new version."""
        trial = self.trial_by_service.get(service)
        if trial is None:
            return False
        name = f"{trial.order.target}/{call_id}".encode()
        return xxhash.xxh3_64_intdigest(name) < trial.share_at(now) * HASH_RANGE

    def record_attempt(self, upstream, route_name, in_flight, failed, seconds, now):
        """Take the outcome of an attempt as evidence, if its service is on trial."""
        trial = self.trial_by_service.get(upstream.service)
        if trial is None or not trial.order.is_open:
            return
        link = self._owner_of(DRIVERS_POOL, now)
        sample = TrialSample(
            upstream.service, upstream.version, route_name, in_flight, failed, seconds
        )
        if link is None:
            self.take_sample(sample, now)
        else:
            link.post(sample)

    def take_sample(self, message, now):
        """Add a sample, this gateway's or another's."""
        driver = self.driver_by_service.get(message.service)
        if driver is not None:
            driver.add(message, now)

    def take_notice(self, message, now):
        """Take the share that the driving gateway tells."""
        trial = self.trial_by_service.get(message.service)
        if trial is not None and trial.order.target == message.target:
            trial.hear(message.share, message.elapsed, now)

    def advance(self, now):
        """Drive what this gateway is chosen to drive, and tell the others."""
        for service, trial in self.trial_by_service.items():
            if not trial.order.is_open or self._owner_of(DRIVERS_POOL, now) is not None:
                self.driver_by_service.pop(service, None)
                continue
            driver = self._driver(service, trial, now)
            if driver is None:
                continue
            driver.advance(now)
            share = driver.share(now)
            trial.hear(share, now - trial.began_at, now)
            notice = TrialNotice(
                service, trial.order.target, share, now - trial.began_at
            )
            for link in list(self._peers.link_by_name.values()):
                link.post(notice)
            wanted = driver.outcome or RolloutOutcome.RUNNING
            if wanted is not trial.order.outcome:
                self._write(trial.order, wanted, driver.reason)

    def dump(self, now):
        """Return the rollouts under way, for operators."""
        return {
            service: {
                "target": trial.order.target,
                "outcome": trial.order.outcome,
                "share": trial.share_at(now),
                "seconds": round(now - trial.began_at, 1),
                "driven_here": service in self.driver_by_service,
            }
            for service, trial in self.trial_by_service.items()
        }

    def _take(self, order, now):
        self._fleet.take_order(order)
        trial = self.trial_by_service.get(order.service)
        if trial is not None and order.is_same(trial.order):
            trial.order = order
        else:
            self.driver_by_service.pop(order.service, None)
            self.trial_by_service[order.service] = Trial(order, now)
        log.info(
            "rollout",
            service=order.service,
            target=order.target,
            duration=order.duration,
            outcome=order.outcome,
            revision=order.revision,
        )

    def _driver(self, service, trial, now):
        if service not in self.driver_by_service:
            old_version = self._fleet.version(service)
            if old_version is None:
                return None
            # Judging needs modules that take a tenth of the start-up time.
            from wharf_gateway.rollouts.trial_driver import TrialDriver

            driver = TrialDriver.begin(trial, old_version, now)
            self.driver_by_service[service] = driver
        return self.driver_by_service[service]

    def _write(self, order, outcome, reason):
        if order.service in self._write_by_service:
            return
        task = asyncio.ensure_future(self._write_outcome(order, outcome, reason))
        self._write_by_service[order.service] = task
        task.add_done_callback(lambda _: self._write_by_service.pop(order.service))

    async def _write_outcome(self, order, outcome, reason):
        """Write once; what the store then has comes back by the watch."""
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
        await asyncio.sleep(WRITE_PAUSE_SECONDS)
