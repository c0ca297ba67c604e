"""Change of the stored configuration document."""

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
    """Replace fields of the stored document; `operation` is the id of the write.

    `fields` returns the new values computed from the stored document, or an
    `Invalid`. An exclusive change is refused if the stored revision is not `base`,
    which defaults to the revision first read. Other changes are computed again from
    the latest document when another writer has published.
    """

    operation: str
    fields: Callable[[Document], dict | Invalid]
    is_exclusive: bool = False
    base: int | None = None

    def apply(self, stored: StoredObject) -> Result[bytes, ChangeRefused]:
        """Return the next document as JSON, or why the change is refused."""
        try:
            document = self._read_document(stored)
        except ValidationError as error:
            return Err(Invalid("stored configuration", str(error)))
        if self.base is None:
            self.base = document.revision
        if self.is_exclusive and document.revision != self.base:
            return Err(Superseded(document.revision))
        fields = self.fields(document)
        if isinstance(fields, Invalid):
            return Err(fields)
        return self._encode(document, stored.era, fields)

    def is_applied(self, stored: StoredObject) -> bool:
        """Return whether the stored document includes this change."""
        if not stored.exists:
            return False
        return self.operation in self._read_document(stored).operations

    def _encode(self, document, era, fields):
        try:
            text = document.successor(self.operation, era, **fields).to_json()
        except ValidationError as error:
            return Err(Invalid("configuration", str(error)))
        if len(text) > MAX_DOCUMENT_BYTES:
            expected = f"{len(text)} bytes exceed the limit of {MAX_DOCUMENT_BYTES}"
            return Err(Invalid("configuration", expected))
        return Ok(text)

    def _read_document(self, stored):
        if not stored.exists:
            return Document(revision=0)
        return Document.from_json(stored.value)
