"""The claims of an entry: its runner, and their upkeep in the background."""

import asyncio
from random import Random

from wharf_coordination import Lease
from wharf_daemon.entry.claimed_stage_runner import ClaimedStageRunner
from wharf_platform import LeaseManager
from wharf_platform.claims import ClaimPurger, ClaimRecorder, ClaimStore

__all__ = ["ClaimService"]

TIDY_SUBJECT = "claims"
TIDY_LEASE_SECONDS = 120.0


class ClaimService:
    """Wrap a stage runner with claims and delete those past their retention."""

    def __init__(self, stage_runner, store: ClaimStore, name, rng: Random):
        self._recorder = ClaimRecorder(store, rng)
        self._lease_manager = LeaseManager(
            store.client, TIDY_SUBJECT, Lease(name, TIDY_LEASE_SECONDS), rng
        )
        self._purger = ClaimPurger(store, self._lease_manager)
        self._tasks = []
        self.runner = ClaimedStageRunner(stage_runner, store, self._recorder, rng)

    def start(self):
        """Contend for the upkeep of the claims."""
        work = (self._lease_manager.run(), self._purger.run())
        self._tasks = [asyncio.create_task(task) for task in work]

    async def stop(self, seconds):
        """Record what has ended, for at most `seconds`, and give the lease up."""
        for task in self._tasks:
            task.cancel()
        await self.runner.drain(seconds)
        await self._lease_manager.release()

    def dump(self):
        """Return the state for operators."""
        return {
            "ends_not_recorded": self._recorder.pending,
            "tidies": self._lease_manager.is_held(),
        }
