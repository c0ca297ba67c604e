"""A completed rollout that a drill of the store takes out of everyone's memory."""

import asyncio
import itertools
import os
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from stand_ins_2 import (  # noqa: E402
    CASE_FAILED,
    CASE_HELD,
    CASE_IMPOSSIBLE,
    Gateway,
    Runner,
    Store,
    attempt_id,
    configuration,
    has_trouble,
    read_answer,
    request_bytes,
    route,
    run_case,
    service,
)

GATEWAYS = 3
RUNNERS = 3
DURATION_SECONDS = 16.0
COPY_SECONDS = 3.0  # age of the copy
AWAY_SECONDS = 1.0
HEARTBEAT_SECONDS = 1.2
DRAIN_AFTER_SECONDS = 2.0  # from a roll-back until the new runners drain
DRAIN_SECONDS = 2.0  # drainMs, for which a draining runner serves at least
RECOVER_SECONDS = 12.0  # recoverS
MEASURE_SECONDS = 20.0
REQUEST_SECONDS = 0.02  # between requests
SERVICE = "listings-api"


class Site:
    """The parts of the play, and what the platform has seen."""

    def __init__(self, record, store, gateways, old, new):
        self.record = record
        self.store = store
        self.gateways = gateways
        self.old = old
        self.new = new
        self.state = None
        self.ended = asyncio.Event()
        self.outcomes = []
        self.up = set()
        store.on_status = self.on_status

    def on_status(self, kind, name, status):
        """Do what the platform does when a rollout ends."""
        if kind != "rollouts" or not status or status["state"] == self.state:
            return
        self.state = status["state"]
        if self.state == "completed":
            for runner in self.old:
                self.stop_runner(runner)
            self.ended.set()
        elif self.state == "rolled_back":
            self.ended.set()
            self._drain = asyncio.create_task(self.drain_new())

    async def drain_new(self):
        """Let the new runners drain some seconds after a roll-back, and exit."""
        await asyncio.sleep(DRAIN_AFTER_SECONDS)
        for runner in self.new:
            runner.state = "draining"
            await self.store.put("servers", runner.name, runner.entry())
            self.record(f"platform: runner {runner.name} drains")
        await asyncio.sleep(2 * DRAIN_SECONDS)
        for runner in self.new:
            self.stop_runner(runner)

    def stop_runner(self, runner):
        """Stop a runner; its entry lapses after three heartbeats."""
        if runner in self.up:
            self.up.discard(runner)
            self.record(f"platform: stops runner {runner.name}")
            runner.stop()

    async def beat(self):
        """Write the runners' entries, and remove those that have lapsed."""
        silent_since = {}
        while True:
            now = asyncio.get_running_loop().time()
            for runner in (*self.old, *self.new):
                if runner in self.up:
                    silent_since.pop(runner, None)
                    if self.store.is_up:
                        await self.store.put("servers", runner.name, runner.entry())
                    continue
                since = silent_since.setdefault(runner, now)
                if now - since > 3 * HEARTBEAT_SECONDS and self.store.is_up:
                    await self.store.delete("servers", runner.name)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send(self):
        """Send requests at one machine after the other."""
        tasks = set()
        for gateway in itertools.cycle(self.gateways):
            task = asyncio.create_task(self.ask(gateway))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_SECONDS)

    async def ask(self, gateway):
        """Send one request."""
        at = asyncio.get_running_loop().time()
        outcome = "no answer"
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.5):
                reader, writer = await gateway.connect()
                call_id = attempt_id()
                writer.write(
                    request_bytes("GET", "/price/x", call_id=call_id, milliseconds=1500)
                )
                status, _, _ = await read_answer(reader)
                writer.close()
                outcome = str(status)
        self.outcomes.append((at, outcome))

    def share_served(self, since, until):
        """Return the share of the requests sent in a time that were served."""
        found = [outcome for at, outcome in self.outcomes if since <= at < until]
        return found.count("200") / max(1, len(found)), len(found)


async def _keep_copies(store, copies):
    while True:
        if store.is_up:
            copies.append((asyncio.get_running_loop().time(), store.copy()))
        await asyncio.sleep(0.2)


async def _disturb(site, record, copy):
    """Play the drill and the fault; return whether the machines are back.

    With ONLY=drill or ONLY=kill in the environment only one of both comes, to compare.
    """
    only = os.environ.get("ONLY")
    if only != "kill":
        record("platform: the store is away")
        site.store.is_up = False
        site.store.stop()
    if only != "drill":
        record("platform: all processes are killed")
        for gateway in site.gateways:
            await gateway.end()
    await asyncio.sleep(AWAY_SECONDS)
    if only != "kill":
        await site.store.restore(copy)
        site.store.is_up = True
        record(f"platform: the store is back from a copy of {COPY_SECONDS} s before")
    if only != "drill":
        for gateway in site.gateways:
            await gateway.start()
    ready = [await gateway.until_ready() for gateway in site.gateways]
    return all(ready)


async def _play(site, record, copies):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(4.0)
    for runner in site.new:
        await runner.start()
        site.up.add(runner)
        await site.store.put("servers", runner.name, runner.entry())
    order = {"service": SERVICE, "target": "v2", "durationS": DURATION_SECONDS}
    await site.store.put("rollouts", SERVICE, order)
    record("operator: orders v2")
    try:
        async with asyncio.timeout(2 * DURATION_SECONDS):
            await site.ended.wait()
    except TimeoutError:
        record("the rollout didn't end in its time")
    if site.state != "completed":
        record("the rollout wasn't completed before the disruption")
        return CASE_IMPOSSIBLE
    completed_at = loop.time()
    before, _ = site.share_served(completed_at - 8.0, completed_at)
    if has_trouble():
        limit = completed_at - COPY_SECONDS
        copy = [copy for at, copy in copies if at <= limit][-1]
        if not await _disturb(site, record, copy):
            return CASE_IMPOSSIBLE
    back_at = loop.time()
    record("platform: the machines are back")
    await asyncio.sleep(RECOVER_SECONDS + MEASURE_SECONDS)
    since = back_at + RECOVER_SECONDS
    for second in range(0, int(RECOVER_SECONDS + MEASURE_SECONDS), 4):
        share, count = site.share_served(back_at + second, back_at + second + 4)
        record(f"served {second} s to {second + 4} s after: {share:.2f} of {count}")
    after, count = site.share_served(since, since + MEASURE_SECONDS)
    record(f"served in the 8 s before: {before:.2f}")
    record(f"served later than {RECOVER_SECONDS} s after: {after:.2f} of {count}")
    record(f"last state of the rollout: {site.state}")
    if before < 0.25:
        return CASE_IMPOSSIBLE
    return CASE_FAILED if after < 0.25 else CASE_HELD


async def case(record):
    """Return whether requests are served again after the drill.

    If the rollout isn't completed, the whole play is begun anew, once.
    """
    result = await _play_once(record)
    if result == CASE_IMPOSSIBLE:
        record("the play is begun anew")
        result = await _play_once(record)
    return result


async def _play_once(record):
    store = Store(record)
    await store.start()
    old = [Runner(record, f"i-1{number}", SERVICE) for number in range(RUNNERS)]
    new = [Runner(record, f"i-2{number}", SERVICE) for number in range(RUNNERS)]
    for runner in new:
        runner.version = "v2"
    document = configuration([route("price", SERVICE)], [service(SERVICE)])
    await store.put("config", "main", document)
    tasks = []
    with tempfile.TemporaryDirectory() as folder:
        names = [f"edge-khomas-{zone}-1" for zone in "abc"[:GATEWAYS]]
        gateways = [Gateway(record, name, store, Path(folder)) for name in names]
        site = Site(record, store, gateways, old, new)
        for runner in old:
            await runner.start()
            site.up.add(runner)
            await store.put("servers", runner.name, runner.entry())
        try:
            for gateway in gateways:
                await gateway.start()
            for gateway in gateways:
                if not await gateway.until_ready():
                    return CASE_IMPOSSIBLE
            copies = []
            jobs = site.send(), site.beat(), _keep_copies(store, copies)
            tasks = [asyncio.create_task(job) for job in jobs]
            return await _play(site, record, copies)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for gateway in gateways:
                await gateway.end()


run_case(case, FOLDER)
