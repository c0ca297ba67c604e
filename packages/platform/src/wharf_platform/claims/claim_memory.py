"""Recent claims of one process, so that it can write them again."""

from collections import OrderedDict
from dataclasses import dataclass

from wharf_coordination.claims import ClaimOperation, ClaimPlace

__all__ = ["ClaimMemory"]

REMEMBERED_SECONDS = 30.0
MAX_REMEMBERED = 4096


@dataclass(frozen=True, slots=True)
class _Remembered:
    place: ClaimPlace
    operation: ClaimOperation
    at: float


class ClaimMemory:
    """Remember the last operation on each claim for REMEMBERED_SECONDS.

    What is forgotten is lost only if the store loses it too; the unit then counts as
    one that may have run.
    """

    def __init__(self):
        self._by_digest: OrderedDict[bytes, _Remembered] = OrderedDict()

    def __len__(self):
        return len(self._by_digest)

    def add(self, place, operation: ClaimOperation, now):
        """Remember `operation` in place of an earlier one on its claim."""
        self._by_digest.pop(operation.digest, None)
        self._by_digest[operation.digest] = _Remembered(place, operation, now)
        while self._is_oldest_excess(now):
            self._by_digest.popitem(last=False)

    def operations(self) -> list[tuple[ClaimPlace, ClaimOperation]]:
        """Return the remembered operations with their places, the oldest first."""
        return [(item.place, item.operation) for item in self._by_digest.values()]

    def _is_oldest_excess(self, now):
        oldest = next(iter(self._by_digest.values()))
        is_old = oldest.at + REMEMBERED_SECONDS < now
        return is_old or len(self._by_digest) > MAX_REMEMBERED
