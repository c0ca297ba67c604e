"""Lease in the platform's store, held through conditional writes."""

import asyncio
from random import Random

import structlog
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from wharf_coordination import Backoff, Lease, LeaseRecord
from wharf_platform.object_client import ObjectClient
from wharf_platform.store_error import StoreError, Unavailable
from wharf_platform.stored_object import StoredObject

__all__ = ["ORDERS_SUBJECT", "LeaseManager", "lease_key", "read_lease"]

# Subject of the lease whose holder may send orders to upstreams.
ORDERS_SUBJECT = "rollouts"

HOLDER_READS_PER_DURATION = 6
OTHER_READS_PER_DURATION = 2
BACKOFF = Backoff(first=0.1, longest=2.0)

_RECORD = TypeAdapter(LeaseRecord)

log = structlog.get_logger(__name__)


class LeaseManager:
    """Acquire and renew one lease; `lease` holds the state and the rules.

    `lease.name` must be unique to this incarnation of the process.
    """

    def __init__(self, client: ObjectClient, subject, lease: Lease, rng: Random):
        self.lease = lease
        self._client = client
        self._key = lease_key(subject)
        self._rng = rng
        self._is_held = False

    def is_held(self):
        """Return whether this process may act as the holder now."""
        return self.lease.is_held(self._now())

    async def run(self):
        """Acquire and renew the lease until cancelled."""
        failures = 0
        while True:
            stepped = await self.step()
            failures = 0 if stepped.is_ok() else failures + 1
            self._log_transition()
            await asyncio.sleep(self._delay(failures))

    async def step(self) -> Result[None, StoreError]:
        """Read the record once and write the acquisition or renewal, if due."""
        read = await self._read()
        if read.is_err():
            return read
        stored = read.unwrap()
        wanted = self.lease.next_record(self._now(), stored.era)
        if wanted is None:
            return Ok(None)
        return await self._write(stored, wanted)

    async def release(self):
        """Release the lease, so that others need not wait for it to expire."""
        if not self.is_held():
            return
        read = await self._read()
        if read.is_ok() and self.is_held():
            value = _RECORD.dump_json(self.lease.released_record())
            await self._client.put(self._key, value, read.unwrap().version)

    def _delay(self, failures):
        if failures:
            return BACKOFF.delay(failures, self._rng)
        is_held = self.is_held()
        reads = HOLDER_READS_PER_DURATION if is_held else OTHER_READS_PER_DURATION
        return self.lease.duration / reads

    async def _read(self):
        read = (await self._client.get(self._key)).and_then(_parse_record)
        if read.is_err():
            return read
        stored, record = read.unwrap()
        self.lease.observe(record, self._now())
        return Ok(stored)

    async def _write(self, stored, wanted):
        value = _RECORD.dump_json(wanted)
        written = await self._client.put(self._key, value, stored.version)
        if written.is_ok():
            self.lease.observe(wanted, self._now())
        return written.map(lambda _: None)

    def _log_transition(self):
        if self.is_held() != self._is_held:
            self._is_held = not self._is_held
            event = "lease_taken" if self._is_held else "lease_lost"
            log.info(event, key=self._key, fencing=self.lease.fencing)

    def _now(self):
        return asyncio.get_running_loop().time()


def lease_key(subject):
    """Return the key of the object that stores the lease on `subject`."""
    return f"leases/{subject}"


async def read_lease(client: ObjectClient, subject) -> Result[LeaseRecord, StoreError]:
    """Return the stored record of the lease on `subject`."""
    read = (await client.get(lease_key(subject))).and_then(_parse_record)
    return read.map(lambda pair: pair[1])


def _parse_record(stored: StoredObject):
    if not stored.exists:
        return Ok((stored, LeaseRecord()))
    try:
        return Ok((stored, _RECORD.validate_json(stored.value)))
    except ValidationError as error:
        return Err(Unavailable(stored.key, f"invalid lease record: {error}"))
