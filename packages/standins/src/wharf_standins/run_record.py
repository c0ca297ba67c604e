"""A record of work that a stand-in truly ran."""

from dataclasses import dataclass

__all__ = ["RunRecord"]


@dataclass(slots=True)
class RunRecord:
    """One run on one upstream; times are in seconds of the stand-in's clock."""

    upstream: str
    data_centre: str
    attempt: str
    request: str
    version: str
    begin: float
    end: float | None = None
    completed: bool = False
