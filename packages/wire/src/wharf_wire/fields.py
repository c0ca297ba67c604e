"""Types of message fields with validated bounds."""

from typing import Annotated

from pydantic import Field

from wharf_wire.limits import MAX_BODY_BYTES, MAX_DOCUMENT_BYTES, MAX_NAME_LENGTH

__all__ = [
    "MAX_DETAIL_LENGTH",
    "Body",
    "Count",
    "DetailText",
    "DocumentBytes",
    "Name",
    "Seconds",
]

MAX_DETAIL_LENGTH = 1000

Body = Annotated[bytes, Field(max_length=MAX_BODY_BYTES)]
Count = Annotated[int, Field(ge=0)]
DetailText = Annotated[str, Field(max_length=MAX_DETAIL_LENGTH)]
DocumentBytes = Annotated[bytes, Field(max_length=MAX_DOCUMENT_BYTES)]
Name = Annotated[str, Field(max_length=MAX_NAME_LENGTH)]
Seconds = Annotated[float, Field(ge=0, allow_inf_nan=False)]
