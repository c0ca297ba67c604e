"""A service of the configuration."""

from dataclasses import dataclass

from wharf_gateway.model.batching import Batching
from wharf_gateway.model.engine import Engine

__all__ = ["Service"]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that run the same program.

    An upstream is cold for `cold_seconds` after its start, and may then get at most
    `cold_rate` requests per second. `engine` is set for services that run models,
    `batching` for those that run pieces of steps.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None = None
    batching: Batching | None = None
