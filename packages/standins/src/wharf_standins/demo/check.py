"""One promised outcome and whether it was kept."""

from dataclasses import dataclass

__all__ = ["Check"]


@dataclass(frozen=True, slots=True)
class Check:
    """A promise, whether the run kept it, and what was seen."""

    promise: str
    is_kept: bool
    seen: str

    def __str__(self):
        mark = "kept  " if self.is_kept else "BROKEN"
        return f"{mark}  {self.promise}: {self.seen}"
