"""The active configuration as stored on the platform."""

from pydantic import BaseModel, ConfigDict, Field

from wharf_coordination.rollout import Rollout
from wharf_platform.configuration.folder import Folder

__all__ = ["CONFIGURATION_KEY", "Document"]

CONFIGURATION_KEY = "configuration/current"
MAX_OPERATIONS = 64
REVISIONS_PER_ERA = 1_000_000_000


class Document(BaseModel):
    """One revision of the configuration.

    `revision` increases by one with each change, and to the first one of the era if the
    store has come back from a copy: revisions that it lost are never given out again.
    `operations` lists the ids of the latest changes, newest last; after a lost response
    a writer finds its own change there, even if others have written since. `folder` is
    replaced when operators apply their files; `out_data_centres` and `rollouts`, which
    are set by commands, are kept. `rollouts` maps each pool to its latest rollout.
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

    def successor(self, operation, era=None, **changes):
        """Return the next revision with `changes`; raise ValidationError if invalid.

        `era` is that of the store at which the document was read.
        """
        fields = dict(self) | changes
        operations = (*self.operations, operation)[-MAX_OPERATIONS:]
        revision = max(self.revision + 1, (era or 0) * REVISIONS_PER_ERA + 1)
        fields |= {"revision": revision, "operations": operations}
        return type(self).model_validate(fields)
