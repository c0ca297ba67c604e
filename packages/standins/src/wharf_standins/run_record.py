"""Record of a run on a stand-in upstream."""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["RunRecord"]


@dataclass(slots=True)
class RunRecord:
    """One run on one upstream; times are in seconds of the stand-in's clock.

    `input` is the request's input as parsed JSON; `route` is the pipeline.
    `completed` says that the run took full effect, whether or not its response
    was received.
    """

    upstream: str
    data_centre: str
    attempt: str
    request: str
    version: str
    begin: float
    end: float | None = None
    completed: bool = False
    route: str = ""
    stage: str = ""
    customer: str = ""
    incarnation: int = 1
    running: int = 1
    input: Any = field(default=None, repr=False)
