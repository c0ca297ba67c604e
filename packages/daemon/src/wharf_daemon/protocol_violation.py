"""Detection of violations of the link protocol."""

from result import Err, Result
from websockets.exceptions import ConnectionClosedError
from websockets.frames import CloseCode

from wharf_coordination import Code, Refusal

__all__ = ["closed_for_violation", "refuse_unexpected"]

_VIOLATIONS = {
    CloseCode.PROTOCOL_ERROR,
    CloseCode.INVALID_DATA,
    CloseCode.MESSAGE_TOO_BIG,
}


def closed_for_violation(error: ConnectionClosedError):
    """Return whether this side closed the link because of an invalid frame."""
    sent = error.sent
    return sent is not None and sent.code in _VIOLATIONS and not error.rcvd_then_sent


def refuse_unexpected(message) -> Result[None, Refusal]:
    """Return the refusal of a message that is not allowed in this state."""
    refusal = Refusal.not_run(Code.BAD_MESSAGE, f"unexpected {message.kind}")
    return Err(refusal)
