"""Encoding and decoding of messages as CBOR frames."""

from typing import Annotated

import cbor2
from pydantic import Field, TypeAdapter, ValidationError
from result import Err, Ok, Result

from wharf_coordination import Code, Refusal
from wharf_wire.call import Call
from wharf_wire.cancel import Cancel
from wharf_wire.chunk import Chunk
from wharf_wire.claim_reply import ClaimReply
from wharf_wire.claim_request import ClaimRequest
from wharf_wire.configuration_offer import ConfigurationOffer
from wharf_wire.configuration_request import ConfigurationRequest
from wharf_wire.credit import Credit
from wharf_wire.end import End
from wharf_wire.facts import Facts
from wharf_wire.failed import Failed
from wharf_wire.hello import Hello
from wharf_wire.limits import MAX_FRAME_BYTES
from wharf_wire.load import Load
from wharf_wire.order import Order
from wharf_wire.order_result import OrderResult
from wharf_wire.revision_notice import RevisionNotice

__all__ = ["Message", "decode", "encode"]

Message = Annotated[
    Call
    | Cancel
    | Chunk
    | ClaimReply
    | ClaimRequest
    | ConfigurationOffer
    | ConfigurationRequest
    | Credit
    | End
    | Facts
    | Failed
    | Hello
    | Load
    | Order
    | OrderResult
    | RevisionNotice,
    Field(discriminator="kind"),
]
_ADAPTER = TypeAdapter(Message)


def encode(message) -> bytes:
    """Return the CBOR frame of `message`."""
    return cbor2.dumps(_ADAPTER.dump_python(message))


def decode(frame) -> Result[Message, Refusal]:
    """Return the message in `frame`, or a refusal if it is invalid.

    >>> decode(encode(Cancel("a1")))
    Ok(Cancel(attempt='a1', kind='cancel'))
    >>> decode(b"x").unwrap_err().code.label
    'bad_message'
    """
    if not isinstance(frame, bytes):
        return _refuse("expected a binary frame, got a text frame")
    if len(frame) > MAX_FRAME_BYTES:
        return _refuse(f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        return Ok(_ADAPTER.validate_python(cbor2.loads(frame)))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        return _refuse(f"{location}: {first['msg']}")
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        return _refuse(f"not a valid CBOR message: {error}")


def _refuse(detail):
    return Err(Refusal.not_run(Code.BAD_MESSAGE, detail))
