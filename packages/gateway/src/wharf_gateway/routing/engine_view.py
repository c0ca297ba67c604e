"""What a gateway knows of one upstream's work."""

from dataclasses import dataclass, field

from wharf_gateway.routing.engine_load import EngineLoad
from wharf_gateway.routing.pace_estimate import PaceEstimate
from wharf_gateway.routing.prompt_cache import PromptCache

__all__ = ["EngineView"]


@dataclass(slots=True)
class EngineView:
    """Load, pace and cached parts of one incarnation of a service's upstream."""

    service: str
    started_ms: int
    cache: PromptCache
    load: EngineLoad = field(default_factory=EngineLoad)
    pace: PaceEstimate = field(default_factory=PaceEstimate)
