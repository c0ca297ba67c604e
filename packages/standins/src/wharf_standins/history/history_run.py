"""One seeded run of the real daemons on loopback under faults."""

import asyncio
from random import Random

from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_standins.history.adoption import Adoption
from wharf_standins.history.callers import Callers
from wharf_standins.history.fault_kind import FaultKind, faults_of_seed
from wharf_standins.history.history import History
from wharf_standins.history.injector import Injector
from wharf_standins.loopback import Loopback

__all__ = ["HistoryRun"]

SHAPE = {
    "model": ("dc-1", "dc-2", "dc-1", "dc-1", "dc-2"),
    "retrieve": ("dc-1", "dc-2"),
    "book": ("dc-1", "dc-2"),
}
VERSIONS = {"model-3": "2", "model-4": "2"}
PIPELINES = {
    "ask": {
        "stages": [
            {"name": "retrieve", "pool": "retrieve"},
            {"name": "generate", "pool": "model"},
        ]
    },
    "hold": {"stages": [{"name": "record", "pool": "book", "idempotent": False}]},
}
ENTRIES = 2
MAX_REQUESTS_PER_SECOND = 125.0
MIN_SECONDS = 4.5
FAULT_AT_SECONDS = 0.3
FAULT_INTERVAL_SECONDS = 0.2
HOLD_SHARE = 0.3
STREAM_SHARE = 0.3
COLD_LIMIT = 2
MODEL_SECONDS = 0.04


class HistoryRun:
    """Record a run with the traffic and faults of one seed.

    `requests` is the number of requests, sent over about `seconds` or longer;
    `faults`, if given, replaces the faults of the seed.
    """

    def __init__(self, seed, requests, faults=None, seconds=MIN_SECONDS):
        self.faults = faults_of_seed(seed) if faults is None else faults
        self._requests = requests
        self._seconds = seconds
        self._rng = Random(seed)
        self._seed = seed
        self.history = History(
            stages_by_pipeline={"ask": ("retrieve", "generate"), "hold": ("record",)},
            exclusive_stages=frozenset({"record"}),
        )

    async def run(self) -> History:
        """Run all requests and faults; return the history."""
        async with Loopback(
            SHAPE, PIPELINES, entries=ENTRIES, seed=self._seed, versions=VERSIONS
        ) as system:
            self._prepare_system(system)
            callers = Callers(system, self.history)
            injector = Injector(system, self.history, self._rng)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_requests(callers, group))
                for number, kind in enumerate(self.faults):
                    delay = FAULT_AT_SECONDS + number * FAULT_INTERVAL_SECONDS
                    group.create_task(self._inject(injector, kind, delay))
            self.history.end = self._now()
            self._collect(system)
        return self.history

    def _prepare_system(self, system):
        self.history.begin = self._now()
        for entry in system.entries:
            self._record_adoptions(entry.settings.name, entry.feed)
        for name, sidecar in system.sidecar_by_name.items():
            self._record_adoptions(name, sidecar.feed)
        for name, engine in system.engine_by_name.items():
            if name.startswith("model"):
                engine.batch.service_time = MODEL_SECONDS
                engine.batch.cold_bearable = COLD_LIMIT
                self.history.cold_limit_by_upstream[name] = COLD_LIMIT
                self.history.warming_runs = engine.batch.warm_after

    def _record_adoptions(self, process, feed):
        self.history.processes = (*self.history.processes, process)
        feed.documents.subscribe(
            lambda document: self.history.adoptions.append(
                Adoption(process, document.revision, self._now())
            )
        )

    async def _send_requests(self, callers, group):
        gap = max(1 / MAX_REQUESTS_PER_SECOND, self._seconds / self._requests)
        for number in range(self._requests):
            await asyncio.sleep(self._rng.expovariate(1 / gap))
            group.create_task(self._send_request(callers, f"n-{number}"))

    async def _send_request(self, callers, input):
        entry = self._rng.randrange(ENTRIES)
        if self._rng.random() >= HOLD_SHARE:
            streaming = self._rng.random() < STREAM_SHARE
            await callers.send_idempotent(input, entry, streaming)
            return
        if FaultKind.RESENDS not in self.faults:
            await callers.send_keyed(input, entry)
            return
        await asyncio.gather(
            *(callers.send_keyed(input, one) for one in range(ENTRIES))
        )
        await callers.send_keyed(input, entry)

    async def _inject(self, injector, kind, delay):
        await asyncio.sleep(delay)
        await injector.inject(kind)

    def _collect(self, system):
        _, text = system.platform.object_by_key[CONFIGURATION_KEY]
        self.history.final_operations = Document.from_json(text).operations
        for engine in system.engine_by_name.values():
            self.history.runs += engine.runs
        for run in self.history.runs:
            run.end = self.history.end if run.end is None else run.end
        self.history.runs.sort(key=lambda run: run.begin)

    def _now(self):
        return asyncio.get_running_loop().time()
