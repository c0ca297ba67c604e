"""The command that runs the demonstration."""

import asyncio
import logging

import structlog

from wharf_standins.demo.demo_run import DemoRun
from wharf_standins.demo.exchange import exchange, slow_when_cold

__all__ = ["demo"]


def demo():
    """Run a system of the Exchange's shape and check its guarantees.

    It takes about a minute; the exit code is 1 if a guarantee was not met.
    """
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    return asyncio.run(_demo())


async def _demo():
    _say("starting 3 data centres, 24 upstreams with their sidecars, 2 entries")
    async with exchange() as system:
        slow_when_cold(system)
        checks = await DemoRun(system, _say).run()
    print()
    for check in checks:
        print(check)
    failed = sum(not check.is_met for check in checks)
    print(f"\n{len(checks) - failed} of {len(checks)} guarantees kept")
    return 1 if failed else 0


def _say(line):
    print(line, flush=True)
