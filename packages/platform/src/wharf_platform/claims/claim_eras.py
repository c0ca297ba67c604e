"""The present era of the store, as claims need it."""

import asyncio

from reactivex.subject import Subject
from result import Err, Ok, Result

from wharf_coordination.claims import StoreEra
from wharf_platform.claims.claim_keys import era_key
from wharf_platform.store_error import Conflict, StoreError, Unavailable
from wharf_platform.stored_object import StoredObject

__all__ = ["ClaimEras"]


class ClaimEras:
    """Tell the present era, and agree through the store on when it began.

    A later era that any answer names is published to the subscribers of `changes`.
    """

    def __init__(self, client, wall_clock):
        self.changes = Subject()
        self.number = 0
        self._client = client
        self._wall_clock = wall_clock
        self._current = StoreEra()
        self._reading = asyncio.Lock()

    def observe(self, number):
        """Note the era that an answer of the store names."""
        if (number or 0) > self.number:
            self.number = number
            self.changes.on_next(number)

    def is_current(self, stored: StoredObject, era: StoreEra):
        """Return whether `stored` was read or written in `era` and it has not ended."""
        self.observe(stored.era)
        return (stored.era or 0) == era.number == self.number

    async def current(self) -> Result[StoreEra, StoreError]:
        """Return the present era; the first to ask records that it began."""
        if self._current.number != self.number:
            async with self._reading:
                while self._current.number != self.number:
                    read = await self._read(self.number)
                    if read.is_err():
                        return read
                    self._current = read.unwrap()
        return Ok(self._current)

    async def _read(self, number):
        key = era_key(number)
        read = await self._client.get(key)
        if read.is_err():
            return read
        stored = read.unwrap()
        if not stored.exists:
            value = str(int(self._wall_clock()) + 1).encode()
            written = await self._client.put(key, value, stored.version)
            if isinstance(written.err(), Conflict):
                return await self._read(number)
            if written.is_err():
                return written
            stored = written.unwrap()
        self.observe(stored.era)
        if not stored.value.isdigit():
            return Err(Unavailable(key, f"invalid beginning: {stored.value!r}"))
        return Ok(StoreEra(number, float(stored.value)))
