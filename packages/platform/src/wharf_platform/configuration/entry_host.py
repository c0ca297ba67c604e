"""Settings of one entry host."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["EntryHost"]


class EntryHost(BaseModel):
    """An entry host; `operators` is the HOST:PORT of its operators' port.

    wharfctl asks these addresses whether a configuration is in force.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    operators: str = Field(pattern=r"^[^:\s]+:\d{1,5}$")
