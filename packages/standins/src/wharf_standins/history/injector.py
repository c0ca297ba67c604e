"""Bringing about of faults in a running system."""

import asyncio
import time
import uuid
from random import Random

from result import Ok

from wharf_control.document_change import DocumentChange
from wharf_coordination import Fact, FactKind
from wharf_coordination.rollout import Rollout
from wharf_platform import ConditionalUpdate
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.fault_rule import FaultKind as EngineFault
from wharf_standins.fault_rule import FaultRule
from wharf_standins.history.fault_kind import FaultKind
from wharf_standins.history.kill import cut_link, kill_entry, kill_sidecar
from wharf_standins.history.span import Span
from wharf_standins.history.span_kind import SpanKind

__all__ = ["Injector"]

NEW_VERSION = "2"
ROLLOUT_SECONDS = 60.0
ROLLOUT_STEP = 3
FAULT_SECONDS = 0.8
OUT_SECONDS = 3.0
SLOW_STORE_SECONDS = 0.1
LOST_ANSWERS = 0.3
OPERATORS = 2
RACES = 4


class Injector:
    """Bring about one fault at a time and write down the spans it makes."""

    def __init__(self, system, history, rng: Random):
        self._system = system
        self._history = history
        self._rng = rng

    async def inject(self, kind: FaultKind):
        """Bring about a fault, wait, and end it."""
        match kind:
            case FaultKind.STORE_DOWN:
                await self._store(down=True)
            case FaultKind.STORE_SLOW:
                await self._store(delay=SLOW_STORE_SECONDS)
            case FaultKind.STORE_LOSES_ANSWERS:
                await self._store(lose_answers=LOST_ANSWERS)
            case FaultKind.ENTRY_KILLED:
                await self._kill_entry()
            case FaultKind.ENTRY_STOPPED:
                await self._stop_entry()
            case FaultKind.SIDECAR_KILLED:
                await self._kill_sidecar()
            case FaultKind.UPSTREAM_LEAVES:
                await self._upstream_leaves()
            case FaultKind.UPSTREAM_CRASHED:
                await self._crash()
            case FaultKind.UPSTREAM_SLOWED:
                await self._slow()
            case FaultKind.UPSTREAM_COLD:
                self._turn_cold()
            case FaultKind.LINK_CUT:
                await self._cut_links()
            case FaultKind.OPERATORS_RACE:
                await self._race()
            case FaultKind.DATA_CENTRE_OUT:
                await self._take_out()
            case FaultKind.BAD_VERSION:
                await self._bad_version()
            case FaultKind.RESENDS:
                pass

    async def _store(self, **fault):
        platform = self._system.platform
        before = {name: getattr(platform, name) for name in fault}
        for name, value in fault.items():
            setattr(platform, name, value)
        await platform.wake_watches()
        await asyncio.sleep(FAULT_SECONDS)
        for name, value in before.items():
            setattr(platform, name, value)

    async def _kill_entry(self):
        entry = self._system.entries[1]
        await self._system.replace_entry(1)
        self._span(SpanKind.DOWN, entry.settings.name, self._now())
        self._system.killed.append(entry)
        await kill_entry(entry)

    async def _stop_entry(self):
        entry = self._system.entries[1]
        begin = self._now()
        await self._system.replace_entry(1)
        await entry.stop()
        self._span(SpanKind.PLANNED_STOP, entry.settings.name, begin)

    async def _kill_sidecar(self):
        name = "model-2"
        begin = self._now()
        sidecar = self._system.sidecar_by_name[name]
        self._system.killed.append(sidecar)
        await kill_sidecar(sidecar)
        await asyncio.sleep(FAULT_SECONDS / 2)
        await self._system.replace_sidecar(name)
        self._span(SpanKind.DOWN, name, begin, self._now())

    async def _upstream_leaves(self):
        name = "retrieve-0"
        begin = self._now()
        self._span(SpanKind.LEAVING, name, begin)
        self._span(SpanKind.PLANNED_STOP, name, begin)
        await self._system.sidecar_by_name[name].stop()

    async def _crash(self):
        engine = self._engine(self._rng.choice(("model-0", "book-0", "retrieve-0")))
        engine.crash()
        await asyncio.sleep(FAULT_SECONDS / 2)
        engine.restart()

    def _turn_cold(self):
        # A restart alone would let runs of the old incarnation still answer.
        engine = self._engine("model-1")
        engine.crash()
        engine.restart()

    async def _slow(self):
        rule = FaultRule(EngineFault.SLOW, factor=20.0)
        faults = self._engine("retrieve-0").faults
        faults.append(rule)
        await asyncio.sleep(FAULT_SECONDS)
        faults.remove(rule)

    async def _cut_links(self):
        links = list(self._system.entries[0].links.by_address.values())
        for link in self._rng.sample(links, 3):
            cut_link(link)
            await asyncio.sleep(FAULT_SECONDS / 10)

    async def _race(self):
        operators = (self._operate(number) for number in range(OPERATORS))
        await asyncio.gather(*operators)

    async def _operate(self, number):
        for race in range(RACES):
            weight = 1.0 + number + race
            await self.change(lambda document: _weighted(document, weight))  # noqa: B023

    async def _take_out(self):
        out = await self.change(lambda document: {"out_data_centres": {"dc-2"}})
        begin = self._now()
        await asyncio.sleep(OUT_SECONDS)
        if out:
            self._span(SpanKind.DATA_CENTRE_OUT, "dc-2", begin, self._now())
        await self.change(lambda document: {"out_data_centres": set()})

    async def _bad_version(self):
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
        await asyncio.sleep(FAULT_SECONDS / 2)
        rule = FaultRule(EngineFault.FAIL, version=NEW_VERSION)
        for name in ("model-3", "model-4"):
            self._engine(name).faults.append(rule)
        fact = Fact(FactKind.VETO, rollout.veto_subject, "stated by the test")
        self._system.entries[0].facts.state(fact)
        self._span(SpanKind.VETOED, NEW_VERSION, self._now())

    async def change(self, fields):
        """Change the configuration as an operator does; return whether accepted."""
        update = ConditionalUpdate(self._system.store, self._rng)
        change = DocumentChange(uuid.uuid4().hex, fields)
        match await update.run(CONFIGURATION_KEY, change):
            case Ok(stored):
                revision = Document.from_json(stored.value).revision
                self._span(SpanKind.ACCEPTED, str(revision), self._now())
                return True
            case _:
                return False

    def _engine(self, name):
        return self._system.engine_by_name[name]

    def _span(self, kind, subject, begin, *end):
        self._history.spans.append(Span(kind, subject, begin, *end))

    def _now(self):
        return asyncio.get_running_loop().time()


def _weighted(document, weight):
    customers = dict(document.folder.customers)
    customers["acme"] = customers["acme"].model_copy(update={"weight": weight})
    return {"folder": document.folder.model_copy(update={"customers": customers})}
