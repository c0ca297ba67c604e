"""Change of one rollout's record in the configuration document."""

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
    """Write the rollout record that `change` computes from the stored document.

    `operation` is the id that identifies the write after a lost response.
    """

    operation: str
    change: Callable[[Document], Result[Rollout, Refusal]]

    def apply(self, stored: StoredObject) -> Result[bytes, Refusal]:
        """Return the next document, or why the change is refused."""
        try:
            document = self._read_document(stored)
            return self.change(document).map(
                lambda rollout: self._with_rollout(
                    document, rollout, stored.era
                ).to_json()
            )
        except ValidationError as error:
            return Err(Refusal.not_run(Code.BAD_CONFIGURATION, str(error)))

    def is_applied(self, stored: StoredObject) -> bool:
        """Return whether the stored document includes this change."""
        return (
            stored.exists and self.operation in self._read_document(stored).operations
        )

    def _with_rollout(self, document, rollout, era):
        rollouts = document.rollouts | {rollout.pool: rollout}
        return document.successor(self.operation, era, rollouts=rollouts)

    def _read_document(self, stored):
        if not stored.exists:
            return Document(revision=0)
        return Document.from_json(stored.value)


def find_rollout(document, pool) -> Result[Rollout, Refusal]:
    """Return the rollout record of `pool`, or a NOT_FOUND refusal."""
    rollout = document.rollouts.get(pool)
    if rollout is None:
        detail = f"pool {pool!r} has no rollout"
        return Err(Refusal.not_run(Code.NOT_FOUND, detail))
    return Ok(rollout)
