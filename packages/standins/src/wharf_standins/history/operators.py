"""Operators who change the configuration during a recorded run."""

import asyncio
import time
import uuid
from random import Random

from result import Ok

from wharf_control.document_change import DocumentChange
from wharf_coordination.rollout import Rollout
from wharf_platform import ConditionalUpdate
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.history.span import Span
from wharf_standins.history.span_kind import SpanKind

__all__ = ["Operators"]

NEW_VERSION = "2"
ROLLOUT_SECONDS = 60.0
ROLLOUT_STEP = 3
OUT_DATA_CENTRE = "dc-2"
OUT_SECONDS = 3.0
CONCURRENT_OPERATORS = 2
CHANGES_PER_OPERATOR = 4


class Operators:
    """Change the configuration and record the accepted changes."""

    def __init__(self, system, history, rng: Random):
        self._system = system
        self._history = history
        self._rng = rng

    async def change(self, fields):
        """Make one change; return whether it was accepted."""
        update = ConditionalUpdate(self._system.store, self._rng)
        operation = uuid.uuid4().hex
        change = DocumentChange(operation, fields)
        match await update.run(CONFIGURATION_KEY, change):
            case Ok(stored):
                revision = Document.from_json(stored.value).revision
                self._history.accepted_operations.append(operation)
                self._span(SpanKind.ACCEPTED, str(revision), self._now())
                return True
            case _:
                return False

    async def change_concurrently(self):
        """Make changes as several operators at the same time."""
        operators = (
            self._change_weights(number) for number in range(CONCURRENT_OPERATORS)
        )
        await asyncio.gather(*operators)

    async def take_out(self):
        """Take a data centre out and bring it back."""
        out = {"out_data_centres": {OUT_DATA_CENTRE}}
        is_accepted = await self.change(lambda document: out)
        begin = self._now()
        await asyncio.sleep(OUT_SECONDS)
        if is_accepted:
            kind = SpanKind.DATA_CENTRE_OUT
            self._span(kind, OUT_DATA_CENTRE, begin, self._now())
        await self.change(lambda document: {"out_data_centres": set()})

    async def begin_rollout(self) -> Rollout:
        """Begin a rollout whose new version already has half of the traffic."""
        rollout = Rollout(
            id="r1",
            pool="model",
            old_version="1",
            new_version=NEW_VERSION,
            duration=ROLLOUT_SECONDS,
            started_at=time.time(),
            step=ROLLOUT_STEP,
        )
        await self.change(lambda document: {"rollouts": {"model": rollout}})
        return rollout

    async def _change_weights(self, number):
        for change in range(CHANGES_PER_OPERATOR):
            weight = 1.0 + number + change
            await self.change(lambda document: _with_weight(document, weight))  # noqa: B023

    def _span(self, kind, subject, begin, *end):
        self._history.spans.append(Span(kind, subject, begin, *end))

    def _now(self):
        return asyncio.get_running_loop().time()


def _with_weight(document, weight):
    customers = dict(document.folder.customers)
    customers["acme"] = customers["acme"].model_copy(update={"weight": weight})
    return {"folder": document.folder.model_copy(update={"customers": customers})}
