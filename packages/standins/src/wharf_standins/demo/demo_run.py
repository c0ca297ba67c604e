"""The steps of the demonstration and the checks of their results."""

import asyncio
import time
from collections import Counter
from itertools import chain

from wharf_control.publisher import Publisher
from wharf_coordination.rollout import Rollout
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.demo.check import Check
from wharf_standins.demo.demo_clients import DemoClients
from wharf_standins.demo.exchange import BAD_VERSION, DATA_CENTRES, GOOD_VERSION
from wharf_standins.fault_rule import FaultKind, FaultRule

__all__ = ["DemoRun"]

PUBLISH_SECONDS = 2.0
OBSERVATION_SECONDS = 3.0
ROLLOUT_SECONDS = 36.0
POLL_SECONDS = 0.1
OUT = DATA_CENTRES[0]


class DemoRun:
    """Take a data centre out and back and roll out versions under load."""

    def __init__(self, system, report):
        self._system = system
        self._report = report
        self._clients = DemoClients(system)
        self._publisher = Publisher(
            system.session, system.platform_url, wait=PUBLISH_SECONDS
        )

    async def run(self) -> list[Check]:
        """Run all steps and return their checks."""
        self._clients.start()
        await asyncio.sleep(OBSERVATION_SECONDS)
        checks = [
            await self._take_out(),
            await self._bring_back(),
            await self._roll_out(BAD_VERSION, "taken_back"),
            await self._roll_out(GOOD_VERSION, "finished"),
        ]
        await self._clients.stop()
        return [
            *self._response_checks(),
            *checks,
            self._hold_check(),
            self._cold_check(),
        ]

    async def _take_out(self):
        self._report(f"taking data centre {OUT} out")
        outcome = await self._publisher.publish(
            lambda document: {"out_data_centres": {OUT}}
        )
        before = self._runs_in(OUT)
        await asyncio.sleep(OBSERVATION_SECONDS)
        late = self._runs_in(OUT) - before
        return Check(
            f"a data centre taken out gets nothing new after {PUBLISH_SECONDS:.0f} s",
            outcome.code == 0 and late == 0,
            f"{outcome.lines[-1]}, {late} calls began there later",
        )

    async def _bring_back(self):
        self._report(f"bringing data centre {OUT} back")
        before = self._runs_in(OUT)
        await self._publisher.publish(lambda document: {"out_data_centres": set()})
        await asyncio.sleep(OBSERVATION_SECONDS)
        new = self._runs_in(OUT) - before
        guarantee = "a data centre brought back gets work again"
        return Check(guarantee, new > 0, f"{new} calls began there")

    async def _roll_out(self, version, expected):
        self._report(f"rolling out version {version}")
        if version == BAD_VERSION:
            self._inject_failures(version)
        old = (await self._document()).folder.pools["model"].version
        rollout = Rollout(
            f"to-{version}", "model", old, version, ROLLOUT_SECONDS, time.time()
        )
        await self._publisher.publish(
            lambda document: {"rollouts": document.rollouts | {"model": rollout}}
        )
        begin = time.monotonic()
        record = await self._wait_for_outcome()
        elapsed = time.monotonic() - begin
        in_time = elapsed <= ROLLOUT_SECONDS
        observed = f"{record.outcome} after {elapsed:.0f} s {record.reason}".strip()
        guarantee = f"version {version} is {expected.replace('_', ' ')} in time"
        return Check(
            guarantee, in_time and record.outcome.name.lower() == expected, observed
        )

    def _inject_failures(self, version):
        for engine in self._system.engine_by_name.values():
            engine.faults.append(FaultRule(FaultKind.FAIL, version=version, share=0.7))

    async def _wait_for_outcome(self):
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

    def _response_checks(self):
        clients = self._clients
        for error in clients.errors[:3]:
            self._report(f"  {error}")
        sent = ", ".join(f"{n} {name}s" for name, n in clients.sent_by_pipeline.items())
        yield Check(
            "each caller gets the whole answer to its own request",
            not clients.errors,
            f"{clients.sent - len(clients.errors)} of {clients.sent} "
            f"({sent}; {clients.streams} streamed)",
        )

    def _hold_check(self):
        effects = Counter()
        for engine in self._system.engine_by_name.values():
            effects += getattr(engine, "effects_by_input", Counter())
        duplicates = sum(times > 1 for times in effects.values())
        expected = self._clients.sent_by_pipeline["hold"] // 2
        return Check(
            "a hold that is sent twice runs once",
            duplicates == 0 and len(effects) == expected,
            f"{expected} holds, {len(effects)} recorded, {duplicates} duplicates",
        )

    def _cold_check(self):
        engines = self._system.engine_by_name.values()
        overloads = sum(engine.overloads for engine in engines)
        guarantee = "an upstream in cold start gets no more than it can bear"
        return Check(guarantee, overloads == 0, f"{overloads} calls were overloaded")
