"""The course of the demonstration and the checks of its outcomes."""

import asyncio
import time
from collections import Counter
from itertools import chain

from wharf_control.publisher import Publisher
from wharf_coordination.rollout import Rollout
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.demo.callers import Callers
from wharf_standins.demo.check import Check
from wharf_standins.demo.exchange import BAD_VERSION, DATA_CENTRES, GOOD_VERSION
from wharf_standins.fault_rule import FaultKind, FaultRule

__all__ = ["Course"]

IN_FORCE_SECONDS = 2.0
QUIET_SECONDS = 3.0
ROLLOUT_SECONDS = 36.0
POLL_SECONDS = 0.1
OUT = DATA_CENTRES[0]


class Course:
    """Take a data centre out and back and move versions, while callers call."""

    def __init__(self, system, say):
        self._system = system
        self._say = say
        self._callers = Callers(system)
        self._publisher = Publisher(
            system.session, system.platform_url, wait=IN_FORCE_SECONDS
        )

    async def run(self) -> list[Check]:
        """Return the checks of the whole course."""
        self._callers.start()
        await asyncio.sleep(QUIET_SECONDS)
        checks = [
            await self._take_out(),
            await self._bring_back(),
            await self._try_version(BAD_VERSION, "taken_back"),
            await self._try_version(GOOD_VERSION, "finished"),
        ]
        await self._callers.stop()
        return [*self._answer_checks(), *checks, self._hold_check(), self._cold_check()]

    async def _take_out(self):
        self._say(f"taking data centre {OUT} out")
        outcome = await self._publisher.publish(
            lambda document: {"out_data_centres": {OUT}}
        )
        before = self._runs_in(OUT)
        await asyncio.sleep(QUIET_SECONDS)
        late = self._runs_in(OUT) - before
        return Check(
            f"a data centre taken out gets nothing new after {IN_FORCE_SECONDS:.0f} s",
            outcome.code == 0 and late == 0,
            f"{outcome.lines[-1]}, {late} calls began there later",
        )

    async def _bring_back(self):
        self._say(f"bringing data centre {OUT} back")
        before = self._runs_in(OUT)
        await self._publisher.publish(lambda document: {"out_data_centres": set()})
        await asyncio.sleep(QUIET_SECONDS)
        new = self._runs_in(OUT) - before
        promise = "a data centre brought back gets work again"
        return Check(promise, new > 0, f"{new} calls began there")

    async def _try_version(self, version, expected):
        self._say(f"rolling out version {version}")
        if version == BAD_VERSION:
            self._break_version(version)
        old = (await self._document()).folder.pools["model"].version
        rollout = Rollout(
            f"to-{version}", "model", old, version, ROLLOUT_SECONDS, time.time()
        )
        await self._publisher.publish(
            lambda document: {"rollouts": document.rollouts | {"model": rollout}}
        )
        begin = time.monotonic()
        record = await self._until_decided()
        elapsed = time.monotonic() - begin
        in_time = elapsed <= ROLLOUT_SECONDS
        seen = f"{record.outcome} after {elapsed:.0f} s {record.reason}".strip()
        promise = f"version {version} is {expected.replace('_', ' ')} in time"
        return Check(promise, in_time and record.outcome.name.lower() == expected, seen)

    def _break_version(self, version):
        for engine in self._system.engine_by_name.values():
            engine.faults.append(FaultRule(FaultKind.FAIL, version=version, share=0.7))

    async def _until_decided(self):
        end = time.monotonic() + 2 * ROLLOUT_SECONDS
        while True:
            record = (await self._document()).rollouts["model"]
            if not record.is_running or time.monotonic() > end:
                return record
            await asyncio.sleep(POLL_SECONDS)

    async def _document(self):
        stored = await self._system.store.get(CONFIGURATION_KEY)
        return Document.from_json(stored.unwrap().value)

    def _runs(self):
        engines = self._system.engine_by_name.values()
        return chain.from_iterable(engine.runs for engine in engines)

    def _runs_in(self, data_centre):
        return sum(run.data_centre == data_centre for run in self._runs())

    def _answer_checks(self):
        callers = self._callers
        for fault in callers.faults[:3]:
            self._say(f"  {fault}")
        sent = ", ".join(f"{n} {name}s" for name, n in callers.sent_by_pipeline.items())
        yield Check(
            "each caller gets the whole answer to its own request",
            not callers.faults,
            f"{callers.sent - len(callers.faults)} of {callers.sent} "
            f"({sent}; {callers.streams} streamed)",
        )

    def _hold_check(self):
        effects = Counter()
        for engine in self._system.engine_by_name.values():
            effects += getattr(engine, "effects_by_input", Counter())
        doubled = sum(times > 1 for times in effects.values())
        expected = self._callers.sent_by_pipeline["hold"] // 2
        return Check(
            "a hold that is sent twice runs once",
            doubled == 0 and len(effects) == expected,
            f"{expected} holds, {len(effects)} recorded, {doubled} doubled",
        )

    def _cold_check(self):
        engines = self._system.engine_by_name.values()
        overloads = sum(engine.overloads for engine in engines)
        promise = "an upstream in cold start gets no more than it can bear"
        return Check(promise, overloads == 0, f"{overloads} calls fell over")
