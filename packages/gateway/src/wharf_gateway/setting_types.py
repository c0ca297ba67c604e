"""Types of values in settings."""

from typing import Annotated

from pydantic import Field

__all__ = ["Address", "Seconds"]

Address = Annotated[str, Field(pattern=r"^[^:\s]+:\d{1,5}$")]
Seconds = Annotated[float, Field(ge=0, le=3600)]
