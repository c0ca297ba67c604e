"""A violated guarantee."""

from dataclasses import dataclass

__all__ = ["Finding"]


@dataclass(frozen=True, slots=True)
class Finding:
    """The name of the guarantee, the request that violates it, and details."""

    guarantee: str
    request_id: str
    detail: str

    def __str__(self):
        return f"{self.guarantee}: {self.request_id}: {self.detail}"
