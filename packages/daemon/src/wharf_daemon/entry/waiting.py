"""A stage task that waits in the entry."""

import asyncio
from dataclasses import dataclass

from wharf_coordination import QueuedCall
from wharf_daemon.entry.stage_task import StageTask

__all__ = ["Waiting"]


@dataclass(frozen=True, slots=True)
class Waiting:
    """The task, the upstreams it must avoid, and the future of its placement."""

    task: StageTask
    tried: frozenset[str]
    call: QueuedCall
    placement: asyncio.Future
