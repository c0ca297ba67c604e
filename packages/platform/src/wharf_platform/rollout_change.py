"""A change of one rollout's record in the configuration document."""

from collections.abc import Callable
from dataclasses import dataclass

from pydantic import ValidationError
from result import Err, Ok, Result

from wharf_coordination import Code, Refusal
from wharf_coordination.rollout import Rollout
from wharf_platform.configuration import Document
from wharf_platform.stored_object import StoredObject

__all__ = ["RolloutChange", "find_rollout"]


@dataclass(frozen=True, slots=True)
class RolloutChange:
    """Write the record that `change` makes of the stored document.

    `operation` identifies the write after a lost answer.
    """

    operation: str
    change: Callable[[Document], Result[Rollout, Refusal]]

    def apply(self, stored: StoredObject) -> Result[bytes, Refusal]:
        """Return the next document, or why the record must not change."""
        try:
            document = self._document(stored)
            return self.change(document).map(
                lambda rollout: self._with(document, rollout).to_json()
            )
        except ValidationError as error:
            return Err(Refusal.not_run(Code.BAD_CONFIGURATION, str(error)))

    def is_applied(self, stored: StoredObject) -> bool:
        """Return whether this change is among those in the stored document."""
        return stored.exists and self.operation in self._document(stored).operations

    def _with(self, document, rollout):
        rollouts = document.rollouts | {rollout.pool: rollout}
        return document.successor(self.operation, rollouts=rollouts)

    def _document(self, stored):
        if not stored.exists:
            return Document(revision=0)
        return Document.from_json(stored.value)


def find_rollout(document, pool) -> Result[Rollout, Refusal]:
    """Return the record of the rollout of `pool`, if there is one."""
    rollout = document.rollouts.get(pool)
    if rollout is None:
        detail = f"pool {pool!r} has no rollout"
        return Err(Refusal.not_run(Code.NOT_FOUND, detail))
    return Ok(rollout)
