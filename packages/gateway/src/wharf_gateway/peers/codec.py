"""Encoding of messages between gateways as CBOR."""

import cbor2
from pydantic import ValidationError
from result import Err, Ok

from wharf_gateway.peers.messages import Message

__all__ = ["MAX_FRAME_BYTES", "decode", "encode"]

# The largest messages list a few hundred results of about 40 bytes each.
MAX_FRAME_BYTES = 1 << 18


def encode(message):
    """Return a message as CBOR bytes."""
    return cbor2.dumps(Message.dump_python(message))


def decode(frame):
    """Return the message in a frame, or an error text."""
    try:
        return Ok(Message.validate_python(cbor2.loads(frame)))
    except ValidationError as error:
        fault = error.errors(include_url=False, include_input=False)[0]
        return Err(f"{fault['loc']}: {fault['msg']}")
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        return Err(f"not a CBOR message: {error}")
