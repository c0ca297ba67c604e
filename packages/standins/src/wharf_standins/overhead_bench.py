"""Overhead of the system on a one-stage call, compared with a direct call."""

import asyncio
import json
import statistics
import tempfile
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from wharf_standins.process_fleet import ProcessFleet

__all__ = ["bench_overhead"]

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
SERVICE_SECONDS = 0.02
WARM_UP_CALLS = 50
HEADERS = {"Attempt": "a", "Request": "r", "Version": "1", "Customer": "acme"}
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class Latencies:
    """Latencies of calls of one kind, in seconds."""

    seconds: tuple[float, ...]

    @property
    def median(self):
        """Return the median in milliseconds."""
        return statistics.median(self.seconds) * MILLISECONDS

    @property
    def high(self):
        """Return the 95th percentile in milliseconds."""
        return statistics.quantiles(self.seconds, n=20)[-1] * MILLISECONDS


def bench_overhead(*, calls: int = 400, load_calls: int = 4000, callers: int = 32):
    """Print the overhead of a one-stage call, and requests/s per entry core.

    :param calls: calls of each kind, one at a time, direct and through the system
    :param load_calls: calls by concurrent callers for the processor time
    :param callers: concurrent callers
    """
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_bench(Path(directory), calls, load_calls, callers))
    return 0


async def _bench(directory, calls, load_calls, callers):
    shape = {"model": ("dc-1",)}
    async with ProcessFleet(
        directory, shape, PIPELINES, entries=1, service_time=SERVICE_SECONDS
    ) as fleet:
        assert (await fleet.apply()).code == 0
        await fleet.until_linked()
        direct, through = await _latencies(fleet, calls)
        _report_latencies(direct, through)
        await _report_load(fleet, load_calls, callers)


async def _latencies(fleet, calls):
    direct, through = [], []
    for number in range(WARM_UP_CALLS + calls):
        # Calls alternate so that both kinds see the same load of the machine. Inputs
        # differ so that no call hits the prefix cache.
        pair = (
            await _timed(_direct, fleet, 2 * number),
            await _timed(_through, fleet, 2 * number + 1),
        )
        if number >= WARM_UP_CALLS:
            direct.append(pair[0])
            through.append(pair[1])
    return Latencies(tuple(direct)), Latencies(tuple(through))


async def _timed(call, fleet, note):
    loop = asyncio.get_running_loop()
    begin = loop.time()
    assert await call(fleet, note) == note
    return loop.time() - begin


async def _direct(fleet, note):
    body = json.dumps({"input": note, "stages": {}})
    return await _echo(fleet, f"{fleet.engine_url_by_name['model-0']}/v1/run", body)


async def _through(fleet, note):
    url = f"http://{fleet.address_by_name['entry-0']}/v1/pipelines/ask"
    return await _echo(fleet, url, json.dumps(note))


async def _echo(fleet, url, body):
    async with fleet.session.post(url, data=body, headers=HEADERS) as response:
        return (await response.json())["echo"]


def _report_latencies(direct, through):
    ratio = through.median / direct.median
    added = through.median - direct.median
    print(f"service time {SERVICE_SECONDS * MILLISECONDS:.0f} ms, one call at a time")
    print(f"direct:  median {direct.median:.2f} ms, p95 {direct.high:.2f} ms")
    print(f"through: median {through.median:.2f} ms, p95 {through.high:.2f} ms")
    print(f"overhead: {added:.2f} ms at the median, ratio {ratio:.3f}")


async def _report_load(fleet, calls, callers):
    numbers = count()
    names = ("entry-0", "model-0")
    begin = asyncio.get_running_loop().time()
    before = {name: fleet.processor_seconds(name) for name in names}

    async def call():
        while (number := next(numbers)) < calls:
            assert await _through(fleet, number) == number

    await asyncio.gather(*(call() for _ in range(callers)))
    elapsed = asyncio.get_running_loop().time() - begin
    spent = {name: fleet.processor_seconds(name) - before[name] for name in names}
    print(f"{callers} callers: {calls} calls in {elapsed:.1f} s")
    print(f"entry: {calls / spent['entry-0']:.0f} requests/s per core")
    print(f"sidecar: {calls / spent['model-0']:.0f} calls/s per core")
