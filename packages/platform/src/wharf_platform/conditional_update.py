"""Read-modify-write of one object, safe when responses are lost."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Protocol

from result import Err, Ok, Result

from wharf_coordination import Backoff
from wharf_platform.object_client import ObjectClient
from wharf_platform.store_error import StoreError, Unavailable, UnknownOutcome
from wharf_platform.stored_object import StoredObject

__all__ = ["Change", "ConditionalUpdate"]

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0


class Change(Protocol):
    """A change that a conditional update writes."""

    def apply(self, stored: StoredObject) -> Result[bytes, object]:
        """Return the new value, or why the change is rejected."""

    def is_applied(self, stored: StoredObject) -> bool:
        """Return whether `stored` shows that this change was written.

        This must also hold after later writes by others, so the stored value
        includes a bounded list of recent operation ids.
        """


@dataclass(slots=True)
class ConditionalUpdate:
    """Try a change until it is written or rejected, at most `attempts` times.

    After a lost response the object is read again; the change's operation id
    in it shows whether the write took effect.
    """

    client: ObjectClient
    rng: Random
    attempts: int = 6
    backoff: Backoff = Backoff(FIRST_DELAY_SECONDS, MAX_DELAY_SECONDS)

    async def run(self, key, change) -> Result[StoredObject, object]:
        """Return the written object, the change's rejection, or the last error."""
        outcome: StoreError = Unavailable(key, "no attempt was made")
        was_sent = may_be_written = False
        for attempt in range(self.attempts):
            if attempt:
                await asyncio.sleep(self.backoff.delay(attempt, self.rng))
            match await self.client.get(key):
                case Err(error):
                    outcome = error
                    continue
                case Ok(stored):
                    pass
            if was_sent and change.is_applied(stored):
                return Ok(stored)
            value = change.apply(stored)
            if value.is_err():
                return value
            written = await self.client.put(key, value.unwrap(), stored.version)
            if written.is_ok():
                return written
            outcome, was_sent = written.unwrap_err(), True
            may_be_written |= isinstance(outcome, UnknownOutcome)
        if may_be_written:
            return Err(UnknownOutcome(key, "the response to a write was lost"))
        return Err(outcome)
