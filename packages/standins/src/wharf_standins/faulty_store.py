"""An in-memory object store with fault injection."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from result import Err, Ok

from wharf_platform import Conflict, StoredObject, Unavailable, UnknownOutcome

__all__ = ["FaultyStore"]

WRITE_DELAY_SECONDS = 0.03


@dataclass
class FaultyStore:
    """An in-memory object store with the interface of `ObjectClient`.

    `refusal` is the probability that a call is refused without effect, `loss` that
    the response to a write is lost. A write is delayed with half the probability of
    `loss`. With `conditional` false, the last write wins. `restore` puts a copy back,
    which begins the next `era`: versions are given out again.
    """

    rng: Random
    down: bool = False
    loss: float = 0.0
    refusal: float = 0.0
    conditional: bool = True
    object_by_key: dict = field(default_factory=dict)
    calls: Counter = field(default_factory=Counter)
    version: int = 0
    era: int = 0

    def copy(self):
        """Return a copy of all objects for `restore`."""
        return self.version, dict(self.object_by_key)

    def restore(self, copy):
        """Replace all objects by a copy, as a service does after a loss."""
        self.era += 1
        self.version, objects = copy
        self.object_by_key = dict(objects)

    async def get(self, key):
        """Return the object under `key`, or an absent object."""
        await self._yield_randomly("get")
        if self._is_refused():
            return Err(Unavailable(key, "refused"))
        found = self.object_by_key.get(key) or StoredObject.absent(key)
        return Ok(replace(found, era=self.era))

    async def put(self, key, value, version):
        """Write `value` only if the object still has `version`."""
        return await self._write(key, value, version)

    async def delete(self, key, version):
        """Delete the object only if it still has `version`."""
        return await self._write(key, None, version)

    async def list_versions(self, prefix):
        """Return the version of each object whose key begins with `prefix`."""
        items = self.object_by_key.items()
        return Ok({key: item.version for key, item in items if key.startswith(prefix)})

    async def _write(self, key, value, version):
        await self._yield_randomly("put")
        if self._is_refused():
            return Err(Unavailable(key, "refused"))
        if self.rng.random() < self.loss / 2:
            asyncio.ensure_future(self._store_later(key, value, version))
            return Err(UnknownOutcome(key, "write still in progress"))
        written = self._store(key, value, version)
        if self.rng.random() < self.loss:
            return Err(UnknownOutcome(key, "response to the write lost"))
        return written

    def _store(self, key, value, version):
        current = self.object_by_key.get(key, StoredObject.absent(key))
        if self.conditional and current.version != version:
            return Err(Conflict(key, current.version))
        self.version += 1
        if value is None:
            self.object_by_key.pop(key, None)
            return Ok(StoredObject.absent(key, self.era))
        self.object_by_key[key] = StoredObject(key, self.version, value, self.era)
        return Ok(self.object_by_key[key])

    async def _store_later(self, key, value, version):
        await asyncio.sleep(WRITE_DELAY_SECONDS)
        self._store(key, value, version)

    async def _yield_randomly(self, kind):
        self.calls[kind] += 1
        for _ in range(self.rng.randrange(5)):
            await asyncio.sleep(0)

    def _is_refused(self):
        return self.down or self.rng.random() < self.refusal
