"""Writing outcomes of rollouts to the platform's store."""

import asyncio
from dataclasses import dataclass

import structlog

from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["OutcomeWriter"]

log = structlog.get_logger(__name__)

WRITE_INTERVAL_SECONDS = 0.3  # least time between writes of an outcome


@dataclass(frozen=True, slots=True)
class _Write:
    """A write of an outcome; after a restoration it has to be done again."""

    outcome: RolloutOutcome
    revision: int
    restored_at: float


class OutcomeWriter:
    """Write each outcome once to the revision of an order that the store shows.

    Only the watch tells what the store holds: an acknowledged write may be lost in a
    restoration, and one that failed may be done later.
    """

    def __init__(self, dialect, store, eras):
        self._dialect = dialect
        self._store = store
        self._eras = eras
        self._task_by_service = {}
        self._done_by_service = {}

    def write(self, stored, outcome, reason):
        """Write an outcome unless the store shows it, or is about to do so."""
        service = stored.service
        write = _Write(outcome, stored.revision, self._eras.restored_at)
        if (
            outcome is stored.outcome
            or service in self._task_by_service
            or write == self._done_by_service.get(service)
        ):
            return
        task = asyncio.ensure_future(self._write(stored, write, reason))
        self._task_by_service[service] = task
        task.add_done_callback(lambda _: self._task_by_service.pop(service))

    async def _write(self, order, write, reason):
        status = self._dialect.rollout_status(order.target, write.outcome)
        answer = await self._store.replace_status(
            StoreKind.ROLLOUTS, order.name, status, write.revision
        )
        if answer.is_ok():
            self._done_by_service[order.service] = write
        log.info(
            "rollout_written",
            service=order.service,
            target=order.target,
            outcome=write.outcome,
            reason=reason,
            revision=write.revision,
            fault=answer.unwrap_err().detail if answer.is_err() else None,
        )
        await asyncio.sleep(WRITE_INTERVAL_SECONDS)
