"""Keeps a process's long-running tasks alive."""

import asyncio

import structlog

__all__ = ["supervised"]

log = structlog.get_logger(__name__)

RESTART_SECONDS = 0.1


def supervised(name, run):
    """Return a task that runs the coroutine function `run` until it is cancelled.

    An exception is logged, and the function is called again after a moment.
    """
    return asyncio.create_task(_run(name, run))


async def _run(name, run):
    while True:
        try:
            return await run()
        except Exception:
            log.exception("task_failed", task=name)
        await asyncio.sleep(RESTART_SECONDS)
