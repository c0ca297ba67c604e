"""Classes of requests that callers send."""

from dataclasses import dataclass

__all__ = ["REQUEST_CLASSES", "RequestClass"]


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class: its share of arrivals, its stages and its deadline in seconds.

    `work_by_stage` holds the seconds of service time on an idle, warm upstream. A
    `keyed` request has an idempotency key.
    """

    name: str
    priority: str
    share: float
    deadline: float
    work_by_stage: dict[str, float]
    streaming: bool = False
    keyed: bool = False

    def pipeline(self):
        """Return the pipeline's configuration."""
        stages = [
            {"name": stage, "pool": stage, "idempotent": stage != "record"}
            for stage in self.work_by_stage
        ]
        return {
            "stages": stages,
            "priority": self.priority,
            "default_deadline": self.deadline,
        }


_SEARCH = {"encode": 0.04, "retrieve": 0.04, "rerank": 0.05}

REQUEST_CLASSES = (
    RequestClass(
        *("hold", "urgent", 0.2, 1.5),
        {"encode": 0.04, "record": 0.05},
        keyed=True,
    ),
    RequestClass("question", "interactive", 0.4, 2.5, _SEARCH | {"model": 0.3}),
    RequestClass(
        *("note", "standard", 0.25, 5.0),
        {"encode": 0.04, "model": 0.5},
        streaming=True,
    ),
    RequestClass("draft", "patient", 0.15, 10.0, _SEARCH | {"model": 1.5}),
)
