"""Bounded set of the ids seen last."""

from dataclasses import dataclass, field

__all__ = ["SeenSet"]

MAX_SEEN = 16_384


@dataclass(slots=True)
class SeenSet:
    """Recognise ids among the last `max_seen` distinct ones."""

    max_seen: int = MAX_SEEN
    _ids: dict[str, None] = field(default_factory=dict)

    def add(self, id):
        """Add `id`; return whether it is new.

        >>> seen = SeenSet()
        >>> seen.add("a"), seen.add("a")
        (True, False)
        """
        if id in self._ids:
            return False
        self._ids[id] = None
        if len(self._ids) > self.max_seen:
            del self._ids[next(iter(self._ids))]
        return True
