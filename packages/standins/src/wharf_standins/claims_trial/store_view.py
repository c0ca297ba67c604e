"""One process's client of an emulated store."""

import asyncio

from reactivex.subject import Subject
from result import Err

from wharf_platform import Unavailable, UnknownOutcome

__all__ = ["StoreView"]

LONGEST_WAY_SECONDS = 0.005
TIMEOUT_SECONDS = 2.0


class StoreView:
    """Call a `FaultyStore` with the interface of `ObjectClient`, over a slow way."""

    def __init__(self, store, process):
        self.eras = Subject()
        self._store = store
        self._process = process

    async def get(self, key):
        """Return the object under `key`, or an absent object."""
        return await self._call(key, lambda: self._store.get(key), Unavailable)

    async def put(self, key, value, version):
        """Write `value` only if the object still has `version`."""
        return await self._call(
            key, lambda: self._store.put(key, value, version), UnknownOutcome
        )

    async def list_versions(self, prefix):
        """Return the version of each object whose key begins with `prefix`."""
        return await self._call(
            prefix, lambda: self._store.list_versions(prefix), Unavailable
        )

    async def _call(self, key, call, error_when_lost):
        await self._travel()
        if self._process.is_cut:
            return Err(Unavailable(key, "cut off"))
        result = await call()
        await self._travel()
        if self._process.is_cut:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return Err(error_when_lost(key, "cut off"))
        era = getattr(result.ok(), "era", None)
        if era is not None:
            self.eras.on_next(era)
        return result

    async def _travel(self):
        await asyncio.sleep(self._process.rng.random() * LONGEST_WAY_SECONDS)
        await self._process.resumed()
