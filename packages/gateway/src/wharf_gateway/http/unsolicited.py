"""Causes by which data on a connection to an upstream matches no request."""

from enum import StrEnum, auto

__all__ = ["Unsolicited"]


class Unsolicited(StrEnum):
    """A kind of data that no request is waiting for; its connection is closed.

    `IDLE_DATA` arrived while no request was waiting, `EXTRA_DATA` followed a complete
    response, `OTHER_ID` and `NO_ID` are responses with another request's id or none,
    `NOT_HTTP` isn't a response.
    """

    IDLE_DATA = auto()
    EXTRA_DATA = auto()
    OTHER_ID = auto()
    NO_ID = auto()
    NOT_HTTP = auto()
