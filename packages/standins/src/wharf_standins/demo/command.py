"""The command that runs the demonstration."""

import asyncio
import logging

import structlog

from wharf_standins.demo.course import Course
from wharf_standins.demo.exchange import exchange, slow_when_cold

__all__ = ["demo"]


def demo():
    """Run a system of the Exchange's shape and check the promised outcomes.

    It takes about a minute; the exit code is 1 when a promise was broken.
    """
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    return asyncio.run(_demo())


async def _demo():
    _say("starting 3 data centres, 24 upstreams with their sidecars, 2 entries")
    async with exchange() as system:
        slow_when_cold(system)
        checks = await Course(system, _say).run()
    print()
    for check in checks:
        print(check)
    broken = sum(not check.is_kept for check in checks)
    print(f"\n{len(checks) - broken} of {len(checks)} promises kept")
    return 1 if broken else 0


def _say(line):
    print(line, flush=True)
