"""Stand-in of a plain service, some of whose calls aren't idempotent."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from wharf_standins.engine import Engine

__all__ = ["PlainService"]


@dataclass
class PlainService(Engine):
    """Count the effects of calls; a call takes effect even if its client disconnects.

    `effects_by_input` is keyed by the caller's input as JSON.
    """

    effects_by_input: Counter = field(default_factory=Counter)

    async def _work(self, record, fault, body):
        self.effects_by_input[json.dumps(record.input, sort_keys=True)] += 1
        await asyncio.shield(super()._work(record, fault, body))
