"""A change of the configuration document in the store."""

from collections.abc import Callable
from dataclasses import dataclass

from pydantic import ValidationError
from result import Err, Ok, Result

from wharf_platform import StoredObject
from wharf_platform.configuration import Document

__all__ = ["DocumentChange"]


@dataclass(frozen=True, slots=True)
class DocumentChange:
    """Replace fields of the stored document; `operation` identifies the write."""

    operation: str
    fields: Callable[[Document], dict]

    def apply(self, stored: StoredObject) -> Result[bytes, str]:
        """Return the next document, or why the stored one can't be changed."""
        try:
            document = self._document(stored)
            changed = document.successor(self.operation, **self.fields(document))
        except ValidationError as error:
            return Err(str(error))
        return Ok(changed.to_json())

    def is_applied(self, stored: StoredObject) -> bool:
        """Return whether this change is among those in the stored document."""
        return stored.exists and self.operation in self._document(stored).operations

    def _document(self, stored):
        if not stored.exists:
            return Document(revision=0)
        return Document.from_json(stored.value)
