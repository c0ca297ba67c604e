"""Evaluation of rollouts and, while leader, updates of their records."""

import asyncio
import uuid
from contextlib import suppress

import structlog
from result import Err, Ok

from wharf_coordination import Code, Lease, Refusal
from wharf_coordination.rollout import Advance, Finish, TakeBack, Wait
from wharf_platform import (
    ORDERS_SUBJECT,
    ConditionalUpdate,
    LeaseManager,
    RolloutChange,
    find_rollout,
)
from wharf_platform.configuration import CONFIGURATION_KEY

__all__ = ["RolloutController"]

LEASES_PER_ROLLOUT = 20
MIN_LEASE_SECONDS = 1.0
MAX_LEASE_SECONDS = 30.0
IDLE_INTERVAL_SECONDS = 0.2
WRITE_ATTEMPTS = 3

log = structlog.get_logger(__name__)


class RolloutController:
    """Evaluate running rollouts, veto bad versions and update the records.

    Every entry evaluates and vetoes. Only the leader, which holds the lease,
    writes records; each write is conditional and carries the lease's fencing
    number.
    """

    def __init__(self, name, store, table, facts, loader, metrics, rng):
        self._name = name
        self._store = store
        self._table = table
        self._facts = facts
        self._loader = loader
        self._metrics = metrics
        self._rng = rng
        self._lease_manager = None
        self._lease_task = None
        self._write_task = None

    async def run(self):
        """Evaluate rollouts until cancelled, then release the lease."""
        try:
            while True:
                running = self._table.running()
                self._run_for_leader(running)
                self._evaluate(running)
                if self._is_leader():
                    fencing = self._lease_manager.lease.fencing
                    self._loader.load(running, fencing, self._now())
                if self._is_leader() and not self._is_writing():
                    self._write_task = asyncio.create_task(
                        self._apply_decisions(running)
                    )
                intervals = (participant.evaluation_interval for participant in running)
                await asyncio.sleep(min(intervals, default=IDLE_INTERVAL_SECONDS))
        finally:
            await self._release_lease()

    def _run_for_leader(self, running):
        if running and self._lease_task is None:
            shortest = min(participant.rollout.duration for participant in running)
            duration = shortest / LEASES_PER_ROLLOUT
            duration = min(MAX_LEASE_SECONDS, max(MIN_LEASE_SECONDS, duration))
            lease = Lease(self._name, duration)
            self._lease_manager = LeaseManager(
                self._store, ORDERS_SUBJECT, lease, self._rng
            )
            self._lease_task = asyncio.create_task(self._lease_manager.run())
        elif not running and self._lease_task:
            self._lease_task.cancel()
            self._lease_task = None

    def _evaluate(self, running):
        now = self._now()
        for participant in running:
            fact = participant.evaluate(now)
            if fact:
                self._metrics.vetoes.inc()
                log.warning("version_vetoed", subject=fact.subject, reason=fact.reason)
                self._facts.publish(fact)

    def _is_leader(self):
        return self._lease_task is not None and self._lease_manager.is_held()

    def _is_writing(self):
        return self._write_task is not None and not self._write_task.done()

    async def _apply_decisions(self, running):
        for participant in running:
            action = participant.decide(self._now())
            if action != Wait():
                await self._write(participant, action)

    async def _write(self, participant, action):
        change = RolloutChange(
            uuid.uuid4().hex,
            lambda document: self._update_document(document, participant, action),
        )
        update = ConditionalUpdate(self._store, self._rng, WRITE_ATTEMPTS)
        match await update.run(CONFIGURATION_KEY, change):
            case Ok(_):
                rollout = participant.rollout
                log.info("rollout_changed", id=rollout.id, action=str(action))
                self._metrics.rollout_writes.labels("written").inc()
            case Err(Refusal()):
                self._metrics.rollout_writes.labels("refused").inc()
            case Err(_):
                self._metrics.rollout_writes.labels("failed").inc()

    def _update_document(self, document, participant, action):
        # Called for each write attempt: the lease may have expired meanwhile.
        if not self._lease_manager.is_held():
            return Err(Refusal.not_run(Code.STALE_FENCING, "lease no longer held"))
        if isinstance(action, Finish) and participant.decide(self._now()) != action:
            return Err(Refusal.not_run(Code.CONFLICT, "rollout may no longer finish"))
        if document.revision < self._table.revision:
            # The store has come back from a copy.
            detail = f"the store has the older revision {document.revision}"
            return Err(Refusal.not_run(Code.CONFLICT, detail))
        found = find_rollout(document, participant.rollout.pool)
        return found.and_then(lambda stored: self._apply(stored, participant, action))

    def _apply(self, stored, participant, action):
        if stored.id != participant.rollout.id:
            return Err(
                Refusal.not_run(Code.CONFLICT, f"current rollout is {stored.id}")
            )
        evidence = participant.evidence.summary(self._now())
        fence = self._lease_manager.lease.fencing
        match action:
            case Advance(step):
                return stored.advance(step, evidence, fence)
            case Finish():
                return stored.finish(evidence, fence)
            case TakeBack(reason):
                return stored.take_back(reason, evidence, fence)

    async def _release_lease(self):
        for task in filter(None, (self._lease_task, self._write_task)):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        if self._lease_manager:
            await self._lease_manager.release()

    def _now(self):
        return asyncio.get_running_loop().time()
