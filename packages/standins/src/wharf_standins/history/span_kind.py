"""Kinds of spans in a history."""

from enum import StrEnum

__all__ = ["SpanKind"]


class SpanKind(StrEnum):
    """Condition that held during a span."""

    DATA_CENTRE_OUT = "data centre out"
    LEAVING = "upstream leaving"
    VETOED = "version vetoed"
    PLANNED_STOP = "planned stop"
    DOWN = "process down"
    ACCEPTED = "configuration accepted"
