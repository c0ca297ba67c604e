"""Crashes of one upstream, as observed by its sidecar."""

from dataclasses import dataclass, field

from wharf_coordination.fingerprint import digest
from wharf_coordination.suspicion import Suspicion

__all__ = ["CrashTracker"]


@dataclass(slots=True)
class CrashTracker:
    """Group the calls that failed in the same crash, and detect false crashes.

    Calls that started in the same epoch and failed by a crash share one death; the
    first of them begins the next epoch. `name` is unique for each run of each
    sidecar. A later answer from the same incarnation shows that the upstream did not
    crash and that only connections broke.
    """

    name: str
    epoch: int = 0
    _suspicions: list[Suspicion] = field(default_factory=list)
    _incarnation: str = ""

    def record_crash(self, epoch, fingerprint, incarnation) -> Suspicion:
        """Record that a call of `epoch` failed by a crash; return its suspicion."""
        if epoch == self.epoch:
            self.epoch += 1
            self._suspicions.clear()
            self._incarnation = incarnation
        death = digest(self.name.encode(), str(epoch).encode())
        suspicion = Suspicion(fingerprint, death)
        if epoch == self.epoch - 1:
            self._suspicions.append(suspicion)
        return suspicion

    def record_answer(self, epoch, incarnation) -> list[Suspicion]:
        """Record an answer to a call of `epoch`; return the suspicions it disproves.

        >>> tracker = CrashTracker("sidecar-1/run-1")
        >>> raised = tracker.record_crash(tracker.epoch, "f", "engine-1")
        >>> tracker.record_answer(tracker.epoch, "engine-1") == [raised]
        True
        """
        is_later = epoch == self.epoch and self._suspicions
        if not is_later:
            return []
        survived = incarnation and incarnation == self._incarnation
        disproved = list(self._suspicions) if survived else []
        self._suspicions.clear()
        return disproved
