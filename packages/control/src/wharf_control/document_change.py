"""A change of the configuration document in the store."""

from collections.abc import Callable
from dataclasses import dataclass

from pydantic import ValidationError
from result import Err, Ok, Result

from wharf_control.change_refused import ChangeRefused, Invalid, Superseded
from wharf_platform import StoredObject
from wharf_platform.configuration import Document

__all__ = ["DocumentChange"]

MAX_DOCUMENT_BYTES = 1 << 20


@dataclass(slots=True)
class DocumentChange:
    """Replace fields of the stored document; `operation` identifies the write.

    An exclusive change is refused once another writer has published after the
    revision that it was begun from, `base`; others are made to what the other
    writer left. `fields` may return an `Invalid` in place of the new values.
    """

    operation: str
    fields: Callable[[Document], dict | Invalid]
    is_exclusive: bool = False
    base: int | None = None

    def apply(self, stored: StoredObject) -> Result[bytes, ChangeRefused]:
        """Return the next document, or why the stored one can't be changed."""
        try:
            document = self._document(stored)
        except ValidationError as error:
            return Err(Invalid("stored configuration", str(error)))
        if self.base is None:
            self.base = document.revision
        if self.is_exclusive and document.revision != self.base:
            return Err(Superseded(document.revision))
        fields = self.fields(document)
        if isinstance(fields, Invalid):
            return Err(fields)
        return self._encode(document, fields)

    def is_applied(self, stored: StoredObject) -> bool:
        """Return whether the stored document comes from this change."""
        if not stored.exists:
            return False
        return self.operation in self._document(stored).operations

    def _encode(self, document, fields):
        try:
            text = document.successor(self.operation, **fields).to_json()
        except ValidationError as error:
            return Err(Invalid("configuration", str(error)))
        if len(text) > MAX_DOCUMENT_BYTES:
            expected = f"{len(text)} bytes exceed the bound of {MAX_DOCUMENT_BYTES}"
            return Err(Invalid("configuration", expected))
        return Ok(text)

    def _document(self, stored):
        if not stored.exists:
            return Document(revision=0)
        return Document.from_json(stored.value)
