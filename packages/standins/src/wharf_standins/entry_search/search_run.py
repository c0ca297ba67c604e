"""One seeded run of a search."""

import asyncio
from itertools import count
from random import Random

import structlog

from wharf_standins.entry_search.caller import Caller
from wharf_standins.entry_search.checks import violations
from wharf_standins.entry_search.disturber import Disturber
from wharf_standins.entry_search.exchange import Exchange
from wharf_standins.loopback import Loopback
from wharf_standins.loopback_time import LoopbackTimeLoop

__all__ = ["SearchRun"]

SHAPE = {"model": ("dc-1", "dc-2"), "book": ("dc-1",)}
PIPELINES = {
    "ask": {"stages": [{"name": "answer", "pool": "model"}]},
    "chain": {
        "stages": [{"name": "draft", "pool": "model"}, {"name": "book", "pool": "book"}]
    },
    "hold": {"stages": [{"name": "record", "pool": "book", "idempotent": False}]},
}
CUSTOMERS = ("acme", "beta")
SECONDS = 6.0
CALLERS = 24
DISTURBERS = 2
MAX_SERVICE_SECONDS = 0.5
MAX_GRACE_SECONDS = 2.0
LEAVE_SHARE = 0.1
SLOW_SHARE = 0.2
STREAM_SHARE = 0.4
KEY_SHARE = 0.3
PIPELINE_SHARE = 0.2
LARGE_SHARE = 0.1
# More than the buffers of a link hold while its sidecar reads nothing.
LARGE_BYTES = 400 << 10
MAX_DEADLINE_SECONDS = 4.0
ANSWERS_SECONDS = 30.0


class SearchRun:
    """Take the requests and disturbances of a seed through real daemons.

    `broken` has descriptions of the promises that were broken, `events` what was done.
    """

    def __init__(self, seed):
        self._rng = Random(seed)
        self._seed = seed
        self._notes = count(10)
        self._exchanges = []
        self._ended_at = None
        self.broken = []
        self.events = []

    def run(self):
        """Run to the end in virtual time; return the broken promises."""
        with (
            structlog.testing.capture_logs(),
            asyncio.Runner(loop_factory=LoopbackTimeLoop) as runner,
        ):
            try:
                runner.run(self._run())
            except RuntimeError as error:
                # The system counts requests that an entry has left unanswered.
                self.broken.append(str(error))
        return self.broken

    @property
    def answered(self):
        """Return the number of requests with a whole response."""
        return sum(exchange.is_whole for exchange in self._exchanges)

    async def _run(self):
        system = Loopback(SHAPE, PIPELINES, customers=CUSTOMERS, seed=self._seed)
        async with system:
            self._entry = system.entries[0]
            self._port = self._entry.port
            for engine in system.engine_by_name.values():
                engine.batch.service_time = self._rng.uniform(0.02, MAX_SERVICE_SECONDS)
            disturber = Disturber(system, self._rng)
            self.events = disturber.done
            calls = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
            disturbing = [
                asyncio.create_task(self._disturb(disturber)) for _ in range(DISTURBERS)
            ]
            system.killed.append(self._entry)
            stopping = asyncio.create_task(self._stop())
            _, late = await asyncio.wait(calls, timeout=ANSWERS_SECONDS)
            for call in late:
                call.cancel()
            await asyncio.gather(*calls, *disturbing, stopping)
            self._check(system, disturber.paused)

    async def _disturb(self, disturber):
        end = self._now() + SECONDS
        while self._now() < end:
            await asyncio.sleep(self._rng.expovariate(2.0))
            await disturber.disturb()

    async def _stop(self):
        await asyncio.sleep(self._rng.uniform(SECONDS / 2, SECONDS))
        update = {
            "stop_grace": self._rng.uniform(0.05, MAX_GRACE_SECONDS),
            "drain_delay": self._rng.uniform(0.0, 0.5),
        }
        self._entry.settings = self._entry.settings.model_copy(update=update)
        self.events.append(f"{self._now():.2f} stop {update}")
        end = self._entry.requests.end

        def note_end():
            self._ended_at = self._now()
            end()

        self._entry.requests.end = note_end
        await self._entry.stop()
        self.events.append(f"{self._now():.2f} stopped")

    async def _call(self):
        rng = self._rng
        await asyncio.sleep(rng.uniform(0.0, SECONDS))
        caller = Caller(self._port, rng.choice(CUSTOMERS))
        if not await caller.connect():
            return
        for _ in range(rng.randint(1, 3)):
            number = rng.randint(2, 4) if rng.random() < PIPELINE_SHARE else 1
            exchanges = [self._exchange() for _ in range(number)]
            self._exchanges += exchanges
            pauses = [
                rng.uniform(0.1, 1.0) if rng.random() < SLOW_SHARE else 0.0
                for _ in range(2)
            ]
            exchanging = asyncio.create_task(caller.exchange(exchanges, *pauses))
            if rng.random() < LEAVE_SHARE:
                await asyncio.sleep(rng.uniform(0.0, 0.5))
                caller.leave(exchanges, half=rng.random() < 0.5)
            await exchanging
            if caller.has_left or exchanges[-1].is_last or not exchanges[-1].is_whole:
                break
            await asyncio.sleep(rng.uniform(0.0, 1.0))
        caller.close()

    def _exchange(self):
        rng = self._rng
        note = next(self._notes)
        return Exchange(
            note=note,
            pipeline=rng.choice([*PIPELINES]),
            streaming=rng.random() < STREAM_SHARE,
            deadline=round(rng.uniform(0.2, MAX_DEADLINE_SECONDS), 2),
            key=f"key-{note}" if rng.random() < KEY_SHARE else "",
            padding=LARGE_BYTES if rng.random() < LARGE_SHARE else 0,
        )

    def _check(self, system, paused):
        engines = system.engine_by_name.values()
        runs = [run for engine in engines for run in engine.runs]
        for exchange in self._exchanges:
            own = [run for run in runs if run.input == exchange.note]
            for text in violations(exchange, own, self._ended_at, paused):
                self.broken.append(f"{exchange}: {text}")
            if exchange.pipeline == "hold" and len(own) > 1:
                self.broken.append(f"{exchange}: ran {len(own)} times")

    def _now(self):
        return asyncio.get_running_loop().time()
