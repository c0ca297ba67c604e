"""One event in the log of a process."""

from datetime import datetime
from typing import Any

from pydantic import BaseModel, ConfigDict

__all__ = ["LogEvent"]

_COMMON_FIELDS = frozenset(("event", "level", "timestamp"))


class LogEvent(BaseModel):
    """Name and timestamp of an event; extra fields depend on the event."""

    model_config = ConfigDict(extra="allow", frozen=True)

    event: str
    timestamp: datetime
    request: str | None = None
    requests: tuple[str, ...] = ()

    def concerns(self, request):
        """Return whether the event names `request`."""
        return self.request == request or request in self.requests

    @property
    def upstreams(self):
        """Return the ids of the upstreams that the event names."""
        fields = self.model_extra
        named = {fields.get("upstream"), *fields.get("tried", ())}
        if self.event.startswith("upstream"):
            named.add(fields.get("id"))
        return named - {None}

    @property
    def features(self):
        """Return the features of requests that the event names."""
        fields = self.model_extra
        return {fields.get("feature"), *fields.get("features", ())} - {None}

    @property
    def details(self) -> dict[str, Any]:
        """Return the event-specific fields, in the order of the log line."""
        return {k: v for k, v in self.model_extra.items() if k not in _COMMON_FIELDS}
