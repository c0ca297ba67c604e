"""One line of a process's log."""

from datetime import datetime
from typing import Any

from pydantic import BaseModel, ConfigDict

__all__ = ["LogEvent"]

_PLAIN_FIELDS = frozenset(("event", "level", "timestamp"))


class LogEvent(BaseModel):
    """What happened when; all other fields are the event's own."""

    model_config = ConfigDict(extra="allow", frozen=True)

    event: str
    timestamp: datetime
    request: str | None = None
    requests: tuple[str, ...] = ()

    def concerns(self, request):
        """Return whether it is about a request."""
        return self.request == request or request in self.requests

    @property
    def upstreams(self):
        """Return the ids of the upstreams that it names."""
        fields = self.model_extra
        named = {fields.get("upstream"), *fields.get("tried", ())}
        if self.event.startswith("upstream"):
            named.add(fields.get("id"))
        return named - {None}

    @property
    def details(self) -> dict[str, Any]:
        """Return the event's own fields, in the order in which they were written."""
        return {k: v for k, v in self.model_extra.items() if k not in _PLAIN_FIELDS}
