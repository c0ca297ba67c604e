"""What bytes of a caller are reserved for."""

from enum import StrEnum

__all__ = ["ByteUse"]


class ByteUse(StrEnum):
    """Decides how much of the budget is open to a reservation, and at whose cost."""

    SMALL = "small"  # heads and small bodies
    BODY = "body"
    RESPONSE = "response"  # bytes of a response that its caller has not read yet
