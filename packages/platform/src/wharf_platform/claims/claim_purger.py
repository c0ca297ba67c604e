"""Deletion of claims whose retention period has ended."""

import asyncio

import structlog
from result import Err, Ok, Result

from wharf_platform.claims.claim_keys import (
    ANSWERS_PREFIX,
    FLOOR_KEY,
    SHARDS_PREFIX,
    bucket_of_key,
)
from wharf_platform.claims.claim_store import ClaimStore
from wharf_platform.lease_manager import LeaseManager
from wharf_platform.store_error import StoreError

__all__ = ["ClaimPurger"]

PERIOD_SECONDS = 60.0
DELETIONS_PER_SECOND = 20.0

log = structlog.get_logger(__name__)


class ClaimPurger:
    """Raise the floor, then delete the buckets below it, while holding a lease.

    The floor is a Unix time; buckets that begin before it are expired. A bucket is
    deleted only once a floor above it is stored: safety rests on that order. The
    lease only avoids duplicate work.
    """

    def __init__(self, store: ClaimStore, lease_manager: LeaseManager):
        self._store = store
        self._lease_manager = lease_manager

    async def run(self):
        """Purge periodically until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            if self._lease_manager.is_held():
                await self.purge(self._store.wall_clock())

    async def purge(self, now) -> Result[int, StoreError]:
        """Delete claims expired at Unix time `now`; return the number of objects."""
        floor = await self._raise_floor(self._store.retention.floor(now))
        if floor.is_err():
            return floor
        deleted = 0
        for prefix in (SHARDS_PREFIX, ANSWERS_PREFIX):
            listed = await self._store.client.list_versions(prefix)
            if listed.is_err():
                return listed
            for key, version in listed.unwrap().items():
                if 0 <= bucket_of_key(key) < floor.unwrap():
                    deleted += await self._delete(key, version)
        log.info("claims_deleted", objects=deleted, floor=floor.unwrap())
        return Ok(deleted)

    async def _raise_floor(self, wanted) -> Result[int, StoreError]:
        read = await self._store.client.get(FLOOR_KEY)
        if read.is_err():
            return read
        stored = read.unwrap()
        floor = int(stored.value or 0)
        if wanted <= floor:
            return Ok(floor)
        value = str(wanted).encode()
        written = await self._store.client.put(FLOOR_KEY, value, stored.version)
        return written.map(lambda _: wanted)

    async def _delete(self, key, version):
        await asyncio.sleep(1 / DELETIONS_PER_SECOND)
        match await self._store.client.delete(key, version):
            case Ok(_):
                return 1
            case Err(_):
                return 0
