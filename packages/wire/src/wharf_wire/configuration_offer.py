"""A configuration document, from one process to another."""

import zlib
from typing import Literal

from pydantic.dataclasses import dataclass
from result import Err, Ok, Result

from wharf_coordination import Code, Refusal
from wharf_wire.fields import Count, DocumentBytes
from wharf_wire.limits import MAX_DOCUMENT_BYTES

__all__ = ["ConfigurationOffer"]

COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Carry the configuration of `revision` as a compressed JSON document."""

    revision: Count
    document: DocumentBytes
    kind: Literal["configuration_offer"] = "configuration_offer"

    @classmethod
    def pack(cls, revision, text):
        """Return the offer of the JSON document `text`."""
        return cls(revision, zlib.compress(text, COMPRESSION_LEVEL))

    def unpack(self) -> Result[bytes, Refusal]:
        """Return the JSON document, or a refusal if it is too large or damaged.

        >>> ConfigurationOffer.pack(1, b"{}").unpack()
        Ok(b'{}')
        >>> ConfigurationOffer(1, b"{}").unpack().unwrap_err().code.label
        'bad_message'
        """
        decompressor = zlib.decompressobj()
        try:
            text = decompressor.decompress(self.document, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            return Err(Refusal.not_run(Code.BAD_MESSAGE, f"document: {error}"))
        if not decompressor.eof:
            detail = f"document exceeds {MAX_DOCUMENT_BYTES} bytes or is truncated"
            return Err(Refusal.not_run(Code.BAD_MESSAGE, detail))
        return Ok(text)
