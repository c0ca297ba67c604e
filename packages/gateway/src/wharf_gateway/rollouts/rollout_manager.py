"""A gateway's part in rollouts: canary routing, samples, and driving a rollout."""

from functools import partial

import structlog
import xxhash
from result import Err

from wharf_coordination.rollout import RolloutOutcome
from wharf_gateway.model.rollout_order import RolloutOrder
from wharf_gateway.pause_guard import PAUSE_SECONDS
from wharf_gateway.peers.messages import (
    MAX_OUTCOMES,
    OutcomeItem,
    OutcomeNotice,
    RolloutSample,
    ShareNotice,
)
from wharf_gateway.peers.peer_link import PEER_TIMEOUT_SECONDS
from wharf_gateway.peers.turns import Turns
from wharf_gateway.restoration import is_in_grace
from wharf_gateway.rollouts.outcome_memory import OutcomeMemory
from wharf_gateway.rollouts.outcome_writer import OutcomeWriter
from wharf_gateway.rollouts.rollout_progress import RolloutProgress
from wharf_gateway.stages.pool import Pool
from wharf_gateway.store.store_eras import StoreEras

__all__ = ["RolloutManager"]

log = structlog.get_logger(__name__)

HASH_RANGE = 2**64
DRIVER_POOL = Pool.named("rollouts")  # the gateway that owns it drives all rollouts
# After a pause or a start, peers seem to be gone until what they send is read. Twice
# the time after which a silent peer counts as gone leaves room for slow hosts.
SETTLE_SECONDS = 2 * PEER_TIMEOUT_SECONDS
NOTICE_INTERVAL_SECONDS = 1.0  # between repetitions of lost outcomes
# A rollout without another version to go back to ends at this share of its time, if
# that has been so for long enough that crashed upstreams would be back.
SOLE_FINISH_SHARE = 0.9
SOLE_FINISH_SECONDS = 8.0


class RolloutManager:
    """Route a share of requests to new versions, and evaluate them on one gateway.

    The driving gateway is chosen like the owner of a pool. It receives the samples of
    all gateways, sends them the new version's share ten times a second and writes the
    outcome to the store. A gateway without a recent share sends nothing to the new
    version. `owner_of(pool, now)` returns the link to the owner, None if it is this
    gateway.

    A store that comes back from a copy may show an order without its outcome, not at
    all, or an earlier order of the service. What gateways know then holds, and what
    they wrote is written again. A peer's outcome only fills in what this gateway's
    listing of the new era lacks. A gateway that was paused, and hadn't listed the store
    since, may have missed that an order was offered again and asserts no outcome.

    Without another version to go back to, a rollout isn't rolled back: that would take
    the service away, whatever a comparison has shown. The new version serves, and the
    rollout is finished at the end of its time unless that version is suspected.

    A gateway that was paused for as long as peers wait for a silent one may have been
    replaced as the driver. It forgets what it had seen as the driver, and neither
    drives nor applies shares until it has heard its peers again.
    """

    def __init__(self, fleet, dialect, store, owner_of, peers, clock, eras=None):
        self._fleet = fleet
        self._dialect = dialect
        self._owner_of = owner_of
        self._peers = peers
        self._clock = clock
        self.progress_by_service = {}
        self.driver_by_service = {}
        self._outcomes = OutcomeMemory()
        self._held_by_service = {}
        self._listed_era = None
        self._advanced_at = None
        self._is_behind = False
        self._settled_at = float("-inf")
        self._turns = Turns(NOTICE_INTERVAL_SECONDS, MAX_OUTCOMES)
        self._eras = eras or StoreEras()
        self._eras.callbacks.append(self._handle_restoration)
        self._writer = OutcomeWriter(dialect, store, self._eras)

    def replace_orders(self, objects, now):
        """Apply the rollout orders of a complete listing."""
        self._listed_era = self._eras.current
        self._is_behind = False
        self._held_by_service.clear()
        for order in self._read_orders(objects):
            if self._is_superseded(order, now):
                self._hold(order, now)
            else:
                self._apply_order(order, now, is_listing=True)

    def update_orders(self, objects, now):
        """Apply rollout orders that were created or changed."""
        self._drop_held({stored.name for stored in objects if stored.is_deleted})
        for order in self._read_orders(objects):
            self._apply_order(order, now)

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
        self._step(now)
        driver = self.driver_by_service.get(message.service)
        if driver is not None:
            driver.add(message, now)

    def handle_share_notice(self, message, now):
        """Apply the share that the driving gateway has sent.

        One that is read after a pause may have been sent long ago.
        """
        self._step(now)
        progress = self.progress_by_service.get(message.service)
        is_known = progress is not None and progress.order.target == message.target
        if is_known and now >= self._settled_at:
            progress.update_share(message.share, message.elapsed, now)

    def greet(self, link):
        """Tell a peer that has just been linked the outcomes that the store lost."""
        items = self._lost_items(self._clock())
        if items:
            link.post(OutcomeNotice(tuple(items[:MAX_OUTCOMES])))

    def handle_outcomes(self, message, now):
        """Apply outcomes that the store lost before this gateway could read them."""
        for item in message.items:
            if not self._is_gap(item):
                continue
            order = RolloutOrder(
                item.name,
                item.service,
                item.target,
                item.duration,
                item.outcome,
                item.revision,
            )
            is_new = not self._outcomes.knows(order)
            if self._outcomes.learn(order, item.era, now):
                self._apply_outcome(order, is_new, now)

    def advance(self, now):
        """Drive the open rollouts if this gateway is chosen, and send their shares."""
        self._step(now)
        self._fleet.advance_versions(now)
        self._release_held(now)
        self._repeat_outcomes(now)
        if now < self._settled_at:
            return
        for service, progress in self.progress_by_service.items():
            if self._owner_of(DRIVER_POOL, now) is not None:
                self.driver_by_service.pop(service, None)
            elif progress.order.is_open:
                self._drive(service, progress, now)
            else:
                self.driver_by_service.pop(service, None)
                self._write(progress, progress.order.outcome, "lost by the store", now)

    def wait_for_peers(self, now):
        """Drive nothing until the peers could be heard, as after the start."""
        self._settled_at = now + SETTLE_SECONDS

    def _step(self, now):
        """Record that the process runs; forget after a pause what it saw as driver."""
        last = now if self._advanced_at is None else self._advanced_at
        self._is_behind = self._is_paused(now)
        self._advanced_at = now
        if now - last < PEER_TIMEOUT_SECONDS:
            return
        self.wait_for_peers(now)
        if self.driver_by_service:
            services = sorted(self.driver_by_service)
            log.warning("rollouts_not_driven", services=services, seconds=now - last)
            self.driver_by_service.clear()

    def _may_write(self, order, driver, outcome):
        """Return whether an outcome of `driver`, None if there is none, still holds."""
        now = self._clock()
        self._step(now)
        is_owner = self._owner_of(DRIVER_POOL, now) is None
        is_same = self.driver_by_service.get(order.service) is driver
        is_held = self._is_held(order, outcome, now)
        return is_owner and is_same and not is_held and now >= self._settled_at

    def _is_held(self, order, outcome, now):
        """Return whether taking a version back would leave the service without any."""
        is_back = outcome is RolloutOutcome.TAKEN_BACK
        return is_back and not self._fleet.can_go_back(order, now)

    def _drive(self, service, progress, now):
        if self._fleet.sole_seconds(service, now) is not None:
            self._drive_sole(service, progress, now)
            return
        driver = self._driver(service, progress, now)
        if driver is None:
            return
        driver.advance(now)
        share = driver.share(now)
        elapsed = now - progress.began_at
        progress.update_share(share, elapsed, now)
        notice = ShareNotice(service, progress.order.target, share, elapsed)
        self._peers.post_all(notice)
        outcome = driver.outcome or RolloutOutcome.RUNNING
        self._write(progress, outcome, driver.reason, now)

    def _drive_sole(self, service, progress, now):
        """Finish a rollout at its end if there is no version to go back to.

        One whose new version is suspected stays open, as the old one may come back.
        """
        driver = self.driver_by_service.get(service)
        is_finished = driver is not None and driver.outcome is RolloutOutcome.FINISHED
        is_late = now - progress.began_at >= SOLE_FINISH_SHARE * progress.order.duration
        is_sure = self._fleet.sole_seconds(service, now) >= SOLE_FINISH_SECONDS
        is_suspected = driver is not None and driver.is_suspected(now)
        if is_finished or (is_late and is_sure and not is_suspected):
            self._write(
                progress, RolloutOutcome.FINISHED, "no other version is left", now
            )
        else:
            self._write(progress, RolloutOutcome.RUNNING, "", now)

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

    def _read_orders(self, objects):
        for stored in objects:
            if stored.is_deleted:
                continue
            match self._dialect.read_rollout(stored):
                case Err(fault):
                    log.warning("rollout_unreadable", name=stored.name, detail=fault)
                case answer:
                    yield answer.unwrap()

    def _is_superseded(self, order, now):
        """Return whether a listed order may be older than the one that is known."""
        progress = self.progress_by_service.get(order.service)
        if progress is None or order.is_same_rollout(progress.order):
            return False
        is_known = order.outcome is not None or self._outcomes.knows(order)
        return is_known and (
            is_in_grace(self._eras, now) or self._outcomes.is_lost(progress.order, now)
        )

    def _hold(self, order, now):
        """Apply an open order later, unless the one that is known is written again."""
        log.info("rollout_held", service=order.service, target=order.target)
        if self._record(order, now, is_listing=True).is_open:
            self._held_by_service[order.service] = order

    def _drop_held(self, names):
        """Drop the orders that wait although they are no longer in the store."""
        self._held_by_service = {
            service: order
            for service, order in self._held_by_service.items()
            if order.name not in names
        }

    def _release_held(self, now):
        for order in list(self._held_by_service.values()):
            if not self._is_superseded(order, now):
                self._apply_order(order, now, is_listing=True)

    def _is_gap(self, item):
        """Return whether a restoration may have lost an outcome that a peer tells.

        Orders of the current era that were offered after the listing are later ones.
        """
        is_listed = self._listed_era == self._eras.current
        if not is_listed or not self._eras.is_past(item.era):
            return False
        progress = self.progress_by_service.get(item.service)
        if progress is None:
            configuration = self._fleet.configuration
            services = configuration.service_by_name if configuration else {}
            return item.service in services
        if progress.stored is None:
            is_ended = not progress.order.is_open
            return is_ended and progress.order.revision <= item.revision
        listed = progress.listed_revision
        return listed is not None and listed < item.revision

    def _record(self, order, now, *, is_listing=False):
        era = self._eras.current
        return self._outcomes.record(order, now, era=era, is_listing=is_listing)

    def _apply_outcome(self, order, is_new, now):
        """Apply an outcome of a peer if it is later than what is known here."""
        progress = self.progress_by_service.get(order.service)
        if progress is None or (is_new and not progress.order.is_open):
            progress = RolloutProgress(order, now)
            self.progress_by_service[order.service] = progress
        elif not progress.order.is_open or not order.is_same_rollout(progress.order):
            return
        elif progress.stored is not None:
            order = self._record(progress.stored, now)
        progress.order = order
        self._fleet.apply_order(order)
        self._log_order("rollout_learned", order)

    def _apply_order(self, stored, now, *, is_listing=False):
        self._held_by_service.pop(stored.service, None)
        order = self._record(stored, now, is_listing=is_listing)
        self._fleet.apply_order(order)
        progress = self.progress_by_service.get(order.service)
        is_same = progress is not None and order.is_same_rollout(progress.order)
        if not is_same or (order.is_open and not progress.order.is_open):
            self.driver_by_service.pop(order.service, None)
            progress = RolloutProgress(order, now)
            self.progress_by_service[order.service] = progress
        if is_listing:
            progress.listed_revision = stored.revision
        elif not _is_continued(progress.stored, stored):
            progress.listed_revision = None
        progress.order, progress.stored = order, stored
        self._log_order("rollout", order)

    def _log_order(self, event, order):
        log.info(
            event,
            service=order.service,
            target=order.target,
            duration=order.duration,
            outcome=order.outcome,
            revision=order.revision,
        )

    def _handle_restoration(self, now):
        if self._is_paused(now):
            log.warning("rollouts_forgotten")
            self._outcomes.forget()
        self._outcomes.handle_restoration(now)
        for progress in self.progress_by_service.values():
            progress.stored = progress.listed_revision = None
        self._held_by_service.clear()

    def _is_paused(self, now):
        """Return whether this gateway hasn't listed the store since a pause."""
        last = now if self._advanced_at is None else self._advanced_at
        return self._is_behind or now - last >= PAUSE_SECONDS

    def _lost_items(self, now):
        orders = [progress.order for progress in self.progress_by_service.values()]
        return [
            _outcome_item(order, self._outcomes.position(order))
            for order in orders
            if self._outcomes.is_lost(order, now)
        ]

    def _repeat_outcomes(self, now):
        if not self._turns.is_due(now):
            return
        items = self._lost_items(now)
        if items and self._peers.is_repeater(now):
            self._peers.post_all(OutcomeNotice(tuple(self._turns.next_page(items))))

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

    def _write(self, progress, outcome, reason, now):
        order = progress.stored
        if order is not None and not self._is_held(order, outcome, now):
            driver = self.driver_by_service.get(order.service)
            may_write = partial(self._may_write, order, driver, outcome)
            self._writer.write(order, outcome, reason, may_write)


def _outcome_item(order, position):
    return OutcomeItem(
        order.name,
        order.service,
        order.target,
        order.duration,
        order.outcome,
        position.era,
        position.revision,
    )


def _is_continued(before, after):
    """Return whether a changed order is the one before, whose rollout has begun."""
    return (
        before is not None
        and before.is_open
        and before.is_same_rollout(after)
        and after.outcome is RolloutOutcome.RUNNING
    )
