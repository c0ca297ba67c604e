"""Detection of a peer that breaks the link protocol."""

from websockets.exceptions import ConnectionClosedError
from websockets.frames import CloseCode

__all__ = ["closed_for_violation"]

_VIOLATIONS = {
    CloseCode.PROTOCOL_ERROR,
    CloseCode.INVALID_DATA,
    CloseCode.MESSAGE_TOO_BIG,
}


def closed_for_violation(error: ConnectionClosedError):
    """Return whether this side closed the link because of what the peer sent."""
    sent = error.sent
    return sent is not None and sent.code in _VIOLATIONS and not error.rcvd_then_sent
