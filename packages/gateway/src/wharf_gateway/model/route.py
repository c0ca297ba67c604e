"""A route of the configuration."""

from dataclasses import dataclass

from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.model.step import Step
from wharf_gateway.model.target import Target

__all__ = ["Route"]


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they may expect.

    Times are in seconds. `max_pause` is the longest gap between events of a stream.
    A lower `priority` is more urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    steps: tuple[Step, ...] = ()
    is_public: bool = False
    is_sticky: bool = False
    is_resumable: bool = False
    max_pause: float = 0.0

    @property
    def may_repeat(self):
        """Return whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE
