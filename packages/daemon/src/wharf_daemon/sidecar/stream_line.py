"""One line of an upstream's streamed answer."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["StreamLine"]


class StreamLine(BaseModel):
    """A part of the answer, or the final line with the number of parts."""

    model_config = ConfigDict(frozen=True)

    text: str = ""
    end: int | None = Field(default=None, ge=0)
