"""A route of the configuration."""

from dataclasses import dataclass

from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.model.step import Step
from wharf_gateway.model.target import Target

__all__ = ["Route"]


@dataclass(frozen=True, slots=True)
class Route:
    """Targets, time limits and retry rules of one host and path prefix.

    Times are in seconds. The `steps` run before a request is sent to its target.
    `max_event_gap` is the longest gap between events of a stream. A lower `priority` is
    more urgent. Requests need no key if the route `is_public`.
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
    max_event_gap: float = 0.0

    @property
    def may_repeat(self):
        """Return whether a request may be sent again although it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE
