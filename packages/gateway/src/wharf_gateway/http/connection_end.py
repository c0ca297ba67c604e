"""Why the connection of a caller ended."""

from enum import StrEnum

__all__ = ["ConnectionEnd"]


class ConnectionEnd(StrEnum):
    """Who or what ended a connection."""

    CALLER = "caller"  # it closed the connection, or its sending side
    LOST = "lost"  # reset by the caller, or the path to it is broken
    IDLE = "idle"  # no request came, or the rest of none
    LAST_RESPONSE = "last_response"  # a response that said `Connection: close` went out
    CUT = "cut"  # a response that had begun can't be completed
    STOPPING = "stopping"  # it was idle while the process stopped
    STALLED = "stalled"  # it held memory without progress while others needed it
    CROWDED = "crowded"  # too many were open
    FAILED = "failed"  # an exception of the connection itself
