"""Places in an answer at which an upstream crashes."""

from enum import StrEnum

__all__ = ["CrashPlace"]


class CrashPlace(StrEnum):
    """Where in an answer its upstream crashes.

    `END_OF_CONNECTION` is an answer without a length whose connection is closed in
    order behind its first event, as the system does for a process that ends. With
    `BEGINNING` only answers that aren't resumed crash it, and with `ODD_FAILURE`
    requests with an odd number get a signed failure instead.
    """

    HEAD = "head"
    FIRST_EVENT = "first event"
    INSIDE_EVENT = "inside an event"
    LAST_EVENT = "last event"
    BODY_WITH_LENGTH = "body with a length"
    END_OF_CONNECTION = "end of the connection"
    BEGINNING = "beginning"
    ODD_FAILURE = "odd failure"
