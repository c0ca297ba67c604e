"""A stage task that waits for admission."""

import asyncio
from dataclasses import dataclass

from wharf_coordination import QueuedCall
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["WaitingTask"]


@dataclass(frozen=True, slots=True)
class WaitingTask:
    """A queued task, the upstreams already tried and its future admission."""

    task: StageTask
    tried: frozenset[str]
    call: QueuedCall
    admission: asyncio.Future
