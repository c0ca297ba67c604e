"""Settings of one entry process, which accepts requests."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["EntryHost"]


class EntryHost(BaseModel):
    """An entry process; `operators` is the HOST:PORT of its operators' API.

    wharfctl queries these addresses for the active configuration revision.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    operators: str = Field(pattern=r"^[^:\s]+:\d{1,5}$")
