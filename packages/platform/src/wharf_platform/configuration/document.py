"""The active configuration as stored on the platform."""

from pydantic import BaseModel, ConfigDict, Field

from wharf_coordination.rollout import Rollout
from wharf_platform.configuration.folder import Folder

__all__ = ["CONFIGURATION_KEY", "Document"]

CONFIGURATION_KEY = "configuration/current"
MAX_OPERATIONS = 64


class Document(BaseModel):
    """One revision of the configuration.

    `revision` increases by one with each change. `operations` lists the ids of the
    latest changes, newest last; after a lost response a writer finds its own
    change there, even if others have written since. `folder` is replaced when
    operators apply their files; `out_data_centres` and `rollouts`, which are set by
    commands, are kept. `rollouts` maps each pool to its latest rollout.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    revision: int = Field(ge=0)
    operations: tuple[str, ...] = Field(default=(), max_length=MAX_OPERATIONS)
    folder: Folder = Field(default_factory=Folder)
    out_data_centres: frozenset[str] = frozenset()
    rollouts: dict[str, Rollout] = Field(default_factory=dict)

    @classmethod
    def from_json(cls, text):
        """Return the document in `text`; raise ValidationError if it is invalid."""
        return cls.model_validate_json(text)

    def to_json(self):
        """Return the document as JSON bytes."""
        return self.model_dump_json().encode()

    def successor(self, operation, **changes):
        """Return the next revision with `changes`; raise ValidationError if invalid."""
        fields = dict(self) | changes
        operations = (*self.operations, operation)[-MAX_OPERATIONS:]
        fields |= {"revision": self.revision + 1, "operations": operations}
        return type(self).model_validate(fields)
