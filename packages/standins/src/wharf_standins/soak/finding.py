"""A promise that was broken."""

from dataclasses import dataclass

__all__ = ["Finding"]


@dataclass(frozen=True, slots=True)
class Finding:
    """The promise, the request that shows it, and what was seen."""

    promise: str
    call_id: str
    detail: str

    def __str__(self):
        return f"{self.promise}: {self.call_id}: {self.detail}"
