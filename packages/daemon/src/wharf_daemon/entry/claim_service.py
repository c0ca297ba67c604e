"""Claims of an entry: the stage runner and the background cleanup."""

import asyncio
from random import Random

from wharf_coordination import Lease
from wharf_daemon.entry.claimed_stage_runner import ClaimedStageRunner
from wharf_platform import LeaseManager
from wharf_platform.claims import ClaimPurger, ClaimRecorder, ClaimStore

__all__ = ["ClaimService"]

CLEANUP_SUBJECT = "claims"
CLEANUP_LEASE_SECONDS = 120.0


class ClaimService:
    """Run stages under claims and delete claims past their retention."""

    def __init__(self, stage_runner, store: ClaimStore, name, rng: Random):
        store.client.eras.subscribe(store.eras.observe)
        self._recorder = ClaimRecorder(store, rng)
        self._lease_manager = LeaseManager(
            store.client, CLEANUP_SUBJECT, Lease(name, CLEANUP_LEASE_SECONDS), rng
        )
        self._purger = ClaimPurger(store, self._lease_manager)
        self._tasks = []
        self.runner = ClaimedStageRunner(stage_runner, store, self._recorder, rng)

    def start(self):
        """Start to contend for the lease of the cleanup."""
        jobs = (self._lease_manager.run(), self._purger.run())
        self._tasks = [asyncio.create_task(job) for job in jobs]

    async def stop(self, seconds):
        """Record ended stages, for at most `seconds`, and release the lease."""
        for task in self._tasks:
            task.cancel()
        await self.runner.drain(seconds)
        await self._lease_manager.release()

    def dump(self):
        """Return the state as a dictionary for JSON."""
        return {
            "ends_not_recorded": self._recorder.pending,
            "tidies": self._lease_manager.is_held(),
        }
