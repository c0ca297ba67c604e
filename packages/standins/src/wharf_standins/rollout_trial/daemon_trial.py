"""One rollout with the real daemons on loopback."""

import asyncio
import json
import time
from random import Random

from wharf_coordination.rollout import Rollout, RolloutOutcome
from wharf_platform.configuration import Document
from wharf_standins.fault_rule import FaultKind, FaultRule
from wharf_standins.loopback import Loopback
from wharf_standins.rollout_trial.trial_result import TrialResult
from wharf_standins.rollout_trial.version_kind import (
    SLOWDOWN,
    BadLater,
    BadOnRoute,
    BadUnderLoad,
    FailsAtOnce,
    Good,
    SlowAtOnce,
)

__all__ = ["DaemonTrial"]

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ENTRIES = 2
ROUTES = ("tally", "bulletin", "question", "report")
OLD_VERSION = "1"
NEW_VERSION = "2"
VETO_BOUND_SECONDS = 2.0
SERVICE_SECONDS = 0.03
UNLOADED_RUNS = 2
POLL_SECONDS = 0.05


class DaemonTrial:
    """Roll out a version of `kind` under `rate` calls per second.

    `duration` is the deadline of the rollout in seconds. `store_down` gives begin and
    end of an outage of the store as fractions of it.
    """

    def __init__(self, kind, seed, duration=30.0, rate=200.0, store_down=None):
        self._kind = kind
        self._seed = seed
        self._rng = Random(seed)
        self._duration = duration
        self._rate = rate
        self._store_down = store_down
        self._calls = set()

    async def run(self) -> TrialResult:
        """Run until the veto bound after the end of the rollout; return the result."""
        pipelines = {
            route: {"stages": [{"name": "generate", "pool": "model"}]}
            for route in ROUTES
        }
        count = len(DATA_CENTRES)
        versions = {f"model-{count + n}": NEW_VERSION for n in range(count)}
        shape = {"model": DATA_CENTRES * 2}
        async with Loopback(
            shape, pipelines, entries=ENTRIES, seed=self._seed, versions=versions
        ) as system:
            return await self._roll_out(system)

    async def _roll_out(self, system):
        for engine in system.engine_by_name.values():
            engine.batch.service_time = SERVICE_SECONDS
        begin = self._now()
        await self._publish_rollout(system)
        self._inject_fault(system, begin)
        caller = asyncio.create_task(self._send_requests(system))
        vetoed_at = asyncio.create_task(self._wait_for_veto(system))
        outage = asyncio.create_task(self._interrupt_store(system))
        record = await self._wait_for_end(system)
        ended_at = self._now()
        await asyncio.sleep(VETO_BOUND_SECONDS + 0.5)
        for task in (caller, vetoed_at, outage):
            task.cancel()
        await asyncio.gather(caller, outage, return_exceptions=True)
        await asyncio.gather(*self._calls, return_exceptions=True)
        veto = None
        if vetoed_at.done() and not vetoed_at.cancelled():
            veto = vetoed_at.result()
        return self._result(system, record, begin, ended_at, veto)

    async def _publish_rollout(self, system):
        rollout = Rollout(
            id=f"trial-{self._seed}",
            pool="model",
            old_version=OLD_VERSION,
            new_version=NEW_VERSION,
            duration=self._duration,
            started_at=time.time(),
        )
        document = Document(
            revision=2, folder=system.folder(), rollouts={"model": rollout}
        )
        await system.publish(document)

    def _inject_fault(self, system, begin):
        rule = self._fault_rule(begin)
        if rule is not None:
            for engine in system.engine_by_name.values():
                engine.faults.append(rule)

    def _fault_rule(self, begin):
        match self._kind:
            case Good():
                return None
            case FailsAtOnce():
                return FaultRule(FaultKind.FAIL, NEW_VERSION)
            case SlowAtOnce():
                return FaultRule(FaultKind.SLOW, NEW_VERSION, factor=SLOWDOWN)
            case BadLater(fraction):
                since = begin + fraction * self._duration
                return FaultRule(FaultKind.FAIL, NEW_VERSION, since=since)
            case BadUnderLoad():
                return FaultRule(
                    FaultKind.SLOW, NEW_VERSION, above=UNLOADED_RUNS, factor=SLOWDOWN
                )
            case BadOnRoute(route):
                return FaultRule(FaultKind.FAIL, NEW_VERSION, ROUTES[route])

    async def _send_requests(self, system):
        number = 0
        while True:
            await asyncio.sleep(self._rng.expovariate(self._rate))
            number += 1
            call = asyncio.create_task(self._send_request(system, number))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _send_request(self, system, number):
        entry = self._rng.randrange(ENTRIES)
        url = f"{system.entry_url(entry)}/v1/pipelines/{self._rng.choice(ROUTES)}"
        headers = {"Customer": "acme"}
        body = json.dumps(f"n-{number}")
        async with system.session.post(url, data=body, headers=headers) as response:
            await response.read()

    async def _wait_for_veto(self, system):
        while not any(entry.facts.dump() for entry in system.entries):
            await asyncio.sleep(POLL_SECONDS)
        return self._now()

    async def _interrupt_store(self, system):
        if self._store_down is None:
            return
        begin, end = (fraction * self._duration for fraction in self._store_down)
        await asyncio.sleep(begin)
        system.platform.down = True
        await system.platform.wake_watches()
        await asyncio.sleep(end - begin)
        system.platform.down = False

    async def _wait_for_end(self, system):
        limit = 2 * self._duration + 10.0
        async with asyncio.timeout(limit):
            while True:
                rollouts = system.entries[0].feed.document.rollouts
                record = rollouts.get("model")
                if record and not record.is_running:
                    return record
                await asyncio.sleep(POLL_SECONDS)

    def _result(self, system, record, begin, ended_at, vetoed_at):
        runs = [run for engine in system.engine_by_name.values() for run in engine.runs]
        exposed_until = vetoed_at or ended_at
        before = [run for run in runs if begin <= run.begin <= exposed_until]
        late = [run for run in runs if run.begin > exposed_until + VETO_BOUND_SECONDS]
        if record.outcome is RolloutOutcome.FINISHED:
            late = []
        result = TrialResult(str(self._kind), self._seed)
        result.outcome, result.reason = record.outcome.value, record.reason
        result.ended_at = ended_at - begin
        result.vetoed_at = vetoed_at and vetoed_at - begin
        result.calls_before_veto = len(before)
        result.new_calls_before_veto = _count_new(before)
        result.new_calls_late = _count_new(late)
        return result

    def _now(self):
        return asyncio.get_running_loop().time()


def _count_new(runs):
    return sum(run.version == NEW_VERSION for run in runs)
