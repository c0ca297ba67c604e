"""A service of the configuration."""

from dataclasses import dataclass

from wharf_gateway.model.batching import Batching
from wharf_gateway.model.engine import Engine

__all__ = ["Service"]


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of upstreams.

    `cold_rate` is the requests a second that a cold upstream bears; it is cold for
    `cold_seconds` after a start.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None = None
    batching: Batching | None = None
