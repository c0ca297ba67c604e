"""A configuration that one process hands to another."""

import zlib
from typing import Literal

from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from wharf_coordination import Code, Refusal
from wharf_wire.fields import Count, DocumentText
from wharf_wire.limits import MAX_DOCUMENT_BYTES

__all__ = ["ConfigurationOffer"]

FAST_LEVEL = 1


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Carry the configuration of `revision` as a compressed JSON document."""

    revision: Count
    document: DocumentText
    kind: Literal["configuration_offer"] = "configuration_offer"

    @classmethod
    def pack(cls, revision, text):
        """Return the offer of the JSON document `text`."""
        return cls(revision, zlib.compress(text, FAST_LEVEL))

    def unpack(self) -> Result[bytes, Refusal]:
        """Return the JSON document, or a refusal of one too large or damaged.

        >>> ConfigurationOffer.pack(1, b"{}").unpack()
        Ok(b'{}')
        >>> ConfigurationOffer(1, b"{}").unpack().unwrap_err().code.label
        'bad_message'
        """
        inflater = zlib.decompressobj()
        try:
            text = inflater.decompress(self.document, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            return Err(Refusal.not_run(Code.BAD_MESSAGE, f"document: {error}"))
        if not inflater.eof:
            detail = f"document exceeds {MAX_DOCUMENT_BYTES} bytes or was cut"
            return Err(Refusal.not_run(Code.BAD_MESSAGE, detail))
        return Ok(text)
