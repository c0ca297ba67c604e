"""Messages between vanillawharf's processes, validated and encoded as CBOR."""

from wharf_wire.call import Call
from wharf_wire.cancel import Cancel
from wharf_wire.chunk import Chunk
from wharf_wire.claim_reply import ClaimReply
from wharf_wire.claim_request import ClaimRequest
from wharf_wire.codec import Message, decode, encode
from wharf_wire.configuration_offer import ConfigurationOffer
from wharf_wire.configuration_request import ConfigurationRequest
from wharf_wire.credit import Credit
from wharf_wire.end import End
from wharf_wire.facts import FactItem, Facts
from wharf_wire.failed import Failed
from wharf_wire.hello import Hello
from wharf_wire.limits import MAX_FRAME_BYTES, PROTOCOL_VERSION
from wharf_wire.load import Load
from wharf_wire.order import Order
from wharf_wire.order_result import OrderResult
from wharf_wire.revision_notice import RevisionNotice

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Call",
    "Cancel",
    "Chunk",
    "ClaimReply",
    "ClaimRequest",
    "ConfigurationOffer",
    "ConfigurationRequest",
    "Credit",
    "End",
    "FactItem",
    "Facts",
    "Failed",
    "Hello",
    "Load",
    "Message",
    "Order",
    "OrderResult",
    "RevisionNotice",
    "decode",
    "encode",
]
