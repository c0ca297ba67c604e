"""Why a request got no complete response."""

from enum import StrEnum

__all__ = ["UnansweredReason"]


class UnansweredReason(StrEnum):
    """Why the connection of a request that was read whole ended without a response.

    A caller that left first and a response that was begun and then cut aren't among
    these.
    """

    BEFORE_TURN = "closed_before_its_turn"
    WHILE_HANDLED = "closed_while_handled"
    HANDLER_FAILED = "handler_failed"
    CONNECTION_FAILED = "connection_failed"
    PROCESS_ENDED = "process_ended"
    NOT_SENT = "not_sent"
