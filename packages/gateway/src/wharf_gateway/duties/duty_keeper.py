"""The lease of one duty in the platform's store."""

import asyncio
from dataclasses import asdict

import structlog
from pydantic import ValidationError
from result import Err, Ok

from wharf_coordination.duties import DutyRecord
from wharf_gateway.duties.duty_document import DutyDocuments
from wharf_gateway.duties.usage_decision import UsageDecision
from wharf_gateway.store.store_kind import DUTIES
from wharf_gateway.store.store_position import StorePosition

__all__ = ["DutyKeeper"]

log = structlog.get_logger(__name__)

# Two tries fit between a renewal and the end of its validity.
RENEWALS_PER_LEASE = 10 / 3
CALL_SECONDS = 0.6
STEP_SECONDS = 0.05
RETRY_SECONDS = 1.0  # between calls of a contender while the store is away
HOLDER_RETRY_SECONDS = 0.2
# Others have time to tell their totals before the first renewal.
FIRST_RENEWAL_SECONDS = 0.5
# The links to peers, which tell of a holder, are there by then.
READ_DELAY_SECONDS = 0.6
FIRST_CONTENDERS = 3
TURN_SECONDS = 0.15  # between the tries of contenders
CONFLICTS = (404, 409)  # HTTP statuses if the record isn't as the write expects


class DutyKeeper:
    """Take, renew and release a lease in the store.

    `rank()` returns this gateway's place among the contenders, None if it is none, and
    `holds_back()` whether it hears too few of the others to be the first to take over.
    `decide(now, settles)` returns the decision to store, `on_read(record)` is called
    with a record that was read, `on_stored(record, position, now)` with one that the
    store has acknowledged. With `is_leaving` the lease is released once
    `is_calling()` says that no call to the platform is under way.
    """

    def __init__(self, duty, lease, store, dialect, eras, clock, unix_clock, meter):
        self.duty = duty
        self.lease = lease
        self._store = store
        self._dialect = dialect
        self._eras = eras
        self._clock = clock
        self._unix_clock = unix_clock
        self._meter = meter
        self.rank = lambda: None
        self.holds_back = lambda: False
        self.is_calling = lambda: False
        self.decide = None
        self.on_read = lambda record: None
        self.on_stored = lambda record, position, now: None
        self.is_leaving = False
        self._told_free_at = None
        self._unread_since = clock()
        self._next_renewal_at = float("-inf")
        self._retry_at = float("-inf")

    async def run(self):
        """Keep the lease until cancelled, or until it has been released."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            await self.step()

    async def step(self):
        """Do what is due now: at most a read and a write."""
        now, lease = self._clock(), self.lease
        version = lease.version
        if version is not None and not self._eras.is_newest(version.era):
            self.forget(now)
        if now < self._retry_at:
            return
        if self.is_leaving:
            if lease.is_holder and lease.needs_read:
                await self._read()
            elif lease.is_holder and not self.is_calling():
                decision = self.decide(now, False)
                await self._write(lease.release(now, decision), "release")
        elif lease.is_holder:
            await self._keep(now)
        else:
            await self._contend(now)

    def forget(self, now):
        """Leave the lease, as the store was restored."""
        if self.lease.is_holder:
            self._log_lost("store restored")
        self.lease.forget(now)
        self._unread_since = now
        self._told_free_at = None

    def tell_free(self, now):
        """Read the record soon, since its holder says that it has released it."""
        self._told_free_at = now

    async def _keep(self, now):
        if self.lease.needs_read:
            await self._read()
        elif now >= self._next_renewal_at:
            # A write without an answer is followed by another one soon.
            self._next_renewal_at = now
            decision = self.decide(now, True)
            await self._write(self.lease.renew(now, decision), "renew")

    async def _contend(self, now):
        rank = self.rank()
        if rank is None:
            return
        lease, turn = self.lease, rank * TURN_SECONDS
        if self.holds_back():
            turn += lease.duration
        if lease.version is None:
            delay = READ_DELAY_SECONDS + max(0, rank - FIRST_CONTENDERS + 1)
            if now >= self._unread_since + delay:
                await self._read()
            return
        told_at = self._told_free_at
        if told_at is not None and now >= told_at + turn:
            await self._read()
        if not lease.may_take(now - turn):
            return
        if lease.needs_read and not await self._read():
            return
        now = self._clock()
        decision = self.decide(now, False)
        write = lease.acquire(now, self._unix_clock(now) * 1000, decision)
        await self._write(write, "acquire")

    async def _read(self):
        """Read the record; return whether the store has answered."""
        match await self._answer(self._store.list(DUTIES)):
            case Ok(page) if self._eras.is_newest(page.position.era):
                self._told_free_at = None
                stored = next((o for o in page.objects if o.name == self.duty), None)
                revision = stored.revision if stored is not None else 0
                record = None if stored is None else _record(stored)
                was_holder = self.lease.is_holder
                position = StorePosition(page.position.era, revision)
                self.lease.observe(position, record, self._clock())
                if was_holder and not self.lease.is_holder:
                    self._log_lost("another record")
                if record is not None:
                    self.on_read(record)
                return True
            case _:
                self._retry()
                return False

    async def _write(self, write, operation):
        if write is None:
            return
        lease, record, version = self.lease, write.record, write.version
        was_holder = lease.is_holder
        if version.revision:
            call = self._store.replace_at(
                DUTIES, self.duty, asdict(record), version.revision
            )
        else:
            call = self._store.create(DUTIES, self.duty, asdict(record))
        answer = await self._answer(call)
        now = self._clock()
        outcome = "unknown"
        match answer:
            case Ok(done) if done.era == version.era:
                outcome = "done"
                revision = self._dialect.read_revision(done.body)
                if revision is None:
                    lease.refuse(write, now)  # the record shows whether it was done
                else:
                    self._record_done(write, StorePosition(done.era, revision), now)
            case Err(error) if getattr(error, "status", None) in CONFLICTS:
                outcome = "conflict"
                lease.refuse(write, now)
            case _:
                self._retry()
        self._meter.count("wharf_duty_writes", self.duty, operation, outcome)
        if was_holder and outcome == "conflict":
            log.warning("duty_conflict", duty=self.duty, token=record.token)

    def _record_done(self, write, position, now):
        lease, record = self.lease, write.record
        was_holder = lease.is_holder
        lease.acknowledge(write, position, now)
        interval = lease.duration / RENEWALS_PER_LEASE
        if lease.is_holder and not was_holder:
            interval = FIRST_RENEWAL_SECONDS
            log.info("duty_taken", duty=self.duty, token=record.token)
        elif not record.holder:
            log.info("duty_released", duty=self.duty, token=record.token)
        self._next_renewal_at = write.sent_at + interval
        self.on_stored(record, position, now)

    async def _answer(self, call):
        """Return the answer to a call of the store, a failure after a short time."""
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await call
        except TimeoutError:
            return Err(None)

    def _retry(self):
        is_holder = self.lease.is_holder
        seconds = HOLDER_RETRY_SECONDS if is_holder else RETRY_SECONDS
        self._retry_at = self._clock() + seconds

    def _log_lost(self, reason):
        log.warning("duty_lost", duty=self.duty, reason=reason)


def _record(stored):
    """Return the record of a stored object.

    One that can't be read counts as held by someone unknown, until it is old.
    """
    try:
        return DutyDocuments.validate_python(stored.spec).to_record()
    except ValidationError as error:
        log.warning("duty_unreadable", name=stored.name, detail=str(error)[:200])
        return DutyRecord("unknown", decision=UsageDecision())
