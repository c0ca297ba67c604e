"""Deaths of one upstream, as the sidecar beside it sees them."""

from dataclasses import dataclass, field

from wharf_coordination.fingerprint import digest
from wharf_coordination.suspicion import Suspicion

__all__ = ["CrashTracker"]


@dataclass(slots=True)
class CrashTracker:
    """Tell which calls died together, and whether the upstream died at all.

    Calls that started in the same epoch and crash share one death; the first of
    them begins the next epoch. `name` is unique for each run of each sidecar.
    A later answer by the same incarnation shows that only connections broke.
    """

    name: str
    epoch: int = 0
    _suspicions: list[Suspicion] = field(default_factory=list)
    _incarnation: str = ""

    def record_crash(self, epoch, fingerprint, incarnation) -> Suspicion:
        """Count a call of `epoch` as crashed; return the suspicion it raises."""
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
        """Take in an answer to a call of `epoch`; return what it disproves.

        >>> watch = CrashTracker("sidecar-1/run-1")
        >>> raised = watch.record_crash(watch.epoch, "f", "engine-1")
        >>> watch.record_answer(watch.epoch, "engine-1") == [raised]
        True
        """
        is_later = epoch == self.epoch and self._suspicions
        if not is_later:
            return []
        survived = incarnation and incarnation == self._incarnation
        disproved = list(self._suspicions) if survived else []
        self._suspicions.clear()
        return disproved
