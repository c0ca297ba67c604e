"""One run of a variant under a scenario."""

import asyncio
import logging
from collections import defaultdict
from random import Random

import structlog

from wharf_standins.bench.arrival import arrivals
from wharf_standins.bench.bench_system import BenchSystem
from wharf_standins.bench.caller import Caller
from wharf_standins.bench.fault_runner import FaultRunner
from wharf_standins.bench.run_result import RunResult

__all__ = ["run"]

WARM_UP_SECONDS = 6.0
WARM_UP_LOAD = 0.6


def run(shape, scenario, variant, seconds, seed) -> RunResult:
    """Run one variant in this process; return its result."""
    only_errors = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=only_errors)
    return asyncio.run(_run(shape, scenario, variant, seconds, seed))


async def _run(shape, scenario, variant, seconds, seed):
    async with BenchSystem(shape, variant, seed) as system:
        caller = Caller(system.session, system.entry_urls)
        warm_up = arrivals(shape, WARM_UP_LOAD, WARM_UP_SECONDS, seed)
        await caller.send_all(warm_up)
        faults = FaultRunner(system, seconds, Random(seed))
        tasks = [asyncio.create_task(faults.run(each)) for each in scenario.faults]
        load = arrivals(shape, scenario.load, seconds, seed, len(warm_up))
        outcomes = await caller.send_all(load)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return _result(system, variant, outcomes, faults)


def _result(system, variant, outcomes, faults):
    upstreams = system.upstream_by_name.values()
    good = {each.request for each in outcomes if each.is_good}
    ids = {each.request for each in outcomes}
    busy, wasted = defaultdict(float), defaultdict(float)
    for upstream in upstreams:
        pool = upstream.name.rpartition("-")[0]
        for request, seconds in upstream.busy_by_request.items():
            if request in ids:
                busy[pool] += seconds
                wasted[pool] += 0.0 if request in good else seconds
    runs = defaultdict(int)
    for upstream in upstreams:
        if upstream.name.startswith("record-"):
            for request, count in upstream.runs_by_request.items():
                runs[request] += count
    return RunResult(
        variant=variant,
        outcomes=tuple(outcomes),
        first_tries=system.counter.first_tries,
        retries=system.counter.retries,
        redirects=system.counter.redirects,
        busy_by_pool=dict(busy),
        wasted_by_pool=dict(wasted),
        cold_excess=sum(upstream.cold_excess for upstream in upstreams),
        overload_crashes=sum(upstream.overload_crashes for upstream in upstreams),
        late_begins=sum(
            each.count_late_calls(upstreams) for each in faults.out_periods
        ),
        doubled_holds=sum(count > 1 for count in runs.values()),
    )
