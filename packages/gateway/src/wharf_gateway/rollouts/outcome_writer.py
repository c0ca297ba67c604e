"""Writing outcomes of rollouts to the platform's store."""

import asyncio
from dataclasses import dataclass

import structlog
from result import Err, Ok

from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.store.store_error import StoreUnavailable
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
    restoration, and one that failed may be done later. Before each write the orders are
    read anew; one that has changed isn't written, since the outcome was decided on what
    the store showed before.
    """

    def __init__(self, dialect, store, eras):
        self._dialect = dialect
        self._store = store
        self._eras = eras
        self._task_by_service = {}
        self._done_by_service = {}

    def write(self, stored, outcome, reason, may_write):
        """Write an outcome unless the store shows it, or is about to do so.

        `may_write()` returns whether this gateway still drives the rollout; it is asked
        at the moment of sending.
        """
        service = stored.service
        write = _Write(outcome, stored.revision, self._eras.restored_at)
        if (
            outcome is stored.outcome
            or service in self._task_by_service
            or write == self._done_by_service.get(service)
        ):
            return
        task = asyncio.ensure_future(self._write(stored, write, reason, may_write))
        self._task_by_service[service] = task
        task.add_done_callback(lambda _: self._task_by_service.pop(service))

    async def _write(self, order, write, reason, may_write):
        answer = await self._read_revision(order.name, write.revision)
        if answer.is_ok():
            status = self._dialect.rollout_status(order.target, write.outcome)
            answer = await self._store.replace_status(
                StoreKind.ROLLOUTS, order.name, status, answer.unwrap(), may_write
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

    async def _read_revision(self, name, expected):
        """Return the revision of an order in the store, which has to be `expected`."""
        match await self._store.list(StoreKind.ROLLOUTS):
            case Err() as error:
                return error
            case Ok(page):
                revisions = [o.revision for o in page.objects if o.name == name]
        if revisions == [expected]:
            return Ok(expected)
        detail = f"revisions {revisions} in place of {expected}"
        return Err(StoreUnavailable(detail))
