"""The configuration in force, as the platform's store keeps it."""

from pydantic import BaseModel, ConfigDict, Field

from wharf_coordination.rollout import Rollout
from wharf_platform.configuration.folder import Folder

__all__ = ["CONFIGURATION_KEY", "Document"]

CONFIGURATION_KEY = "configuration/current"
MAX_OPERATIONS = 64


class Document(BaseModel):
    """One accepted configuration.

    `revision` grows by one with each accepted change; `operations` holds the ids
    of the latest changes, newest last, by which a writer recognises its own after
    a lost answer, also when others have written since. What
    operators command rather than declare, data centres taken out and rollouts,
    stays when a folder is applied. `rollouts` holds the latest of each pool.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    revision: int = Field(ge=0)
    operations: tuple[str, ...] = Field(default=(), max_length=MAX_OPERATIONS)
    folder: Folder = Field(default_factory=Folder)
    out_data_centres: frozenset[str] = frozenset()
    rollouts: dict[str, Rollout] = Field(default_factory=dict)

    @classmethod
    def from_json(cls, text):
        """Return the validated document in `text`; raise ValidationError."""
        return cls.model_validate_json(text)

    def to_json(self):
        """Return the document as JSON bytes."""
        return self.model_dump_json().encode()

    def successor(self, operation, **changes):
        """Return the next revision with `changes`, validated as a whole."""
        fields = dict(self) | changes
        operations = (*self.operations, operation)[-MAX_OPERATIONS:]
        fields |= {"revision": self.revision + 1, "operations": operations}
        return type(self).model_validate(fields)
