"""Judgement of rollouts, and writing of their records while elected."""

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

__all__ = ["RolloutDriver"]

LEASES_PER_ROLLOUT = 20
MIN_LEASE_SECONDS = 1.0
MAX_LEASE_SECONDS = 30.0
IDLE_SECONDS = 0.2
WRITE_ATTEMPTS = 3

log = structlog.get_logger(__name__)


class RolloutDriver:
    """Look at the evidence, veto bad versions, and drive records by a lease.

    Every entry judges and vetoes. Only the holder of the lease writes records,
    and each write is conditional and carries the lease's fencing number.
    """

    def __init__(self, name, store, table, facts, loader, metrics, rng):
        self._name = name
        self._store = store
        self._table = table
        self._facts = facts
        self._loader = loader
        self._metrics = metrics
        self._rng = rng
        self._keeper = None
        self._contender = None
        self._writer = None

    async def run(self):
        """Judge and drive until cancelled."""
        try:
            while True:
                running = self._table.running()
                self._contend(running)
                self._look(running)
                if self._is_elected():
                    fencing = self._keeper.lease.fencing
                    self._loader.load(running, fencing, self._now())
                if self._is_elected() and not self._is_writing():
                    self._writer = asyncio.create_task(self._drive(running))
                pauses = (part.evaluation_interval for part in running)
                await asyncio.sleep(min(pauses, default=IDLE_SECONDS))
        finally:
            await self._leave()

    def _contend(self, running):
        if running and self._contender is None:
            longest = min(part.rollout.duration for part in running)
            duration = longest / LEASES_PER_ROLLOUT
            duration = min(MAX_LEASE_SECONDS, max(MIN_LEASE_SECONDS, duration))
            lease = Lease(self._name, duration)
            self._keeper = LeaseManager(self._store, ORDERS_SUBJECT, lease, self._rng)
            self._contender = asyncio.create_task(self._keeper.run())
        elif not running and self._contender:
            self._contender.cancel()
            self._contender = None

    def _look(self, running):
        now = self._now()
        for participant in running:
            fact = participant.evaluate(now)
            if fact:
                self._metrics.vetoes.inc()
                log.warning("version_vetoed", subject=fact.subject, reason=fact.reason)
                self._facts.state(fact)

    def _is_elected(self):
        return self._contender is not None and self._keeper.is_held()

    def _is_writing(self):
        return self._writer is not None and not self._writer.done()

    async def _drive(self, running):
        for participant in running:
            action = participant.decide(self._now())
            if action != Wait():
                await self._write(participant, action)

    async def _write(self, participant, action):
        change = RolloutChange(
            uuid.uuid4().hex,
            lambda document: self._changed(document, participant, action),
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

    def _changed(self, document, participant, action):
        # Asked before each try: the lease or the time may have run out since.
        if not self._keeper.is_held():
            return Err(Refusal.not_run(Code.STALE_FENCING, "lease lost"))
        if isinstance(action, Finish) and participant.decide(self._now()) != action:
            return Err(Refusal.not_run(Code.CONFLICT, "no longer good or in time"))
        found = find_rollout(document, participant.rollout.pool)
        return found.and_then(lambda stored: self._apply(stored, participant, action))

    def _apply(self, stored, participant, action):
        if stored.id != participant.rollout.id:
            return Err(Refusal.not_run(Code.CONFLICT, f"rollout is now {stored.id}"))
        evidence = participant.evidence.summary(self._now())
        fence = self._keeper.lease.fencing
        match action:
            case Advance(step):
                return stored.advance(step, evidence, fence)
            case Finish():
                return stored.finish(evidence, fence)
            case TakeBack(reason):
                return stored.take_back(reason, evidence, fence)

    async def _leave(self):
        for task in filter(None, (self._contender, self._writer)):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        if self._keeper:
            await self._keeper.release()

    def _now(self):
        return asyncio.get_running_loop().time()
