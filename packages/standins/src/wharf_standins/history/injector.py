"""Injection of faults into a running system."""

import asyncio
from random import Random

from wharf_coordination import Fact, FactKind
from wharf_standins.fault_rule import FaultKind as EngineFault
from wharf_standins.fault_rule import FaultRule
from wharf_standins.history.fault_kind import FaultKind
from wharf_standins.history.kill import cut_link, kill_entry, kill_sidecar
from wharf_standins.history.operators import Operators
from wharf_standins.history.span import Span
from wharf_standins.history.span_kind import SpanKind

__all__ = ["Injector"]

FAULT_SECONDS = 0.8
SLOW_STORE_SECONDS = 0.1
LOST_RESPONSE_SHARE = 0.3


class Injector:
    """Inject faults and record the spans of time that they affect."""

    def __init__(self, system, history, rng: Random):
        self._system = system
        self._history = history
        self._rng = rng
        self._operators = Operators(system, history, rng)

    async def inject(self, kind: FaultKind):
        """Inject a fault and, where it is temporary, wait and remove it."""
        match kind:
            case FaultKind.STORE_DOWN:
                await self._degrade_store(down=True)
            case FaultKind.STORE_SLOW:
                await self._degrade_store(delay=SLOW_STORE_SECONDS)
            case FaultKind.STORE_LOSES_ANSWERS:
                await self._degrade_store(lose_answers=LOST_RESPONSE_SHARE)
            case FaultKind.ENTRY_KILLED:
                await self._kill_entry()
            case FaultKind.ENTRY_STOPPED:
                await self._stop_entry()
            case FaultKind.SIDECAR_KILLED:
                await self._kill_sidecar()
            case FaultKind.UPSTREAM_LEAVES:
                await self._stop_sidecar()
            case FaultKind.UPSTREAM_CRASHED:
                await self._crash_upstream()
            case FaultKind.UPSTREAM_SLOWED:
                await self._slow_upstream()
            case FaultKind.UPSTREAM_COLD:
                self._restart_upstream()
            case FaultKind.LINK_CUT:
                await self._cut_links()
            case FaultKind.OPERATORS_RACE:
                await self._operators.change_concurrently()
            case FaultKind.DATA_CENTRE_OUT:
                await self._operators.take_out()
            case FaultKind.BAD_VERSION:
                await self._begin_bad_rollout()
            case FaultKind.RESENDS:
                pass

    async def _degrade_store(self, **fault):
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

    async def _stop_sidecar(self):
        name = "retrieve-0"
        begin = self._now()
        self._span(SpanKind.LEAVING, name, begin)
        self._span(SpanKind.PLANNED_STOP, name, begin)
        await self._system.sidecar_by_name[name].stop()

    async def _crash_upstream(self):
        engine = self._engine(self._rng.choice(("model-0", "book-0", "retrieve-0")))
        engine.crash()
        await asyncio.sleep(FAULT_SECONDS / 2)
        engine.restart()

    def _restart_upstream(self):
        # Without the crash, runs of the old incarnation could still respond.
        engine = self._engine("model-1")
        engine.crash()
        engine.restart()

    async def _slow_upstream(self):
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

    async def _begin_bad_rollout(self):
        rollout = await self._operators.begin_rollout()
        await asyncio.sleep(FAULT_SECONDS / 2)
        rule = FaultRule(EngineFault.FAIL, version=rollout.new_version)
        for name in ("model-3", "model-4"):
            self._engine(name).faults.append(rule)
        fact = Fact(FactKind.VETO, rollout.veto_subject, "published by the test")
        self._system.entries[0].facts.publish(fact)
        self._span(SpanKind.VETOED, rollout.new_version, self._now())

    def _engine(self, name):
        return self._system.engine_by_name[name]

    def _span(self, kind, subject, begin, *end):
        self._history.spans.append(Span(kind, subject, begin, *end))

    def _now(self):
        return asyncio.get_running_loop().time()
