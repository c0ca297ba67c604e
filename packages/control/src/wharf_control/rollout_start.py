"""An operator's request to start a rollout."""

from dataclasses import dataclass

from wharf_control.change_refused import Invalid
from wharf_coordination.rollout import (
    MAX_DURATION_SECONDS,
    MIN_DURATION_SECONDS,
    Rollout,
)

__all__ = ["RolloutStart"]


@dataclass(frozen=True, slots=True)
class RolloutStart:
    """Pool, versions and time limit of a new rollout; `deadline` is in seconds."""

    id: str
    pool: str
    old_version: str
    new_version: str
    deadline: float

    def fields(self, document, wall_now):
        """Return the new fields of `document`, or the first fault of the request."""
        faults = (fault for fault in self._faults(document) if fault)
        fault = next(faults, None)
        if fault:
            return fault
        rollout = Rollout(
            id=self.id,
            pool=self.pool,
            old_version=self.old_version,
            new_version=self.new_version,
            duration=self.deadline,
            started_at=wall_now,
        )
        return {"rollouts": document.rollouts | {self.pool: rollout}}

    def _faults(self, document):
        yield self._deadline_fault()
        yield self._pool_fault(document)
        yield self._version_fault(document)
        yield self._running_fault(document)

    def _deadline_fault(self):
        if MIN_DURATION_SECONDS <= self.deadline <= MAX_DURATION_SECONDS:
            return None
        bounds = f"{MIN_DURATION_SECONDS} to {MAX_DURATION_SECONDS} seconds"
        return Invalid("deadline", f"{self.deadline} is not within {bounds}")

    def _pool_fault(self, document):
        if self.pool in document.folder.pools:
            return None
        expected = ", ".join(sorted(document.folder.pools)) or "none is configured"
        return Invalid("pool", f"{self.pool!r} is unknown; expected: {expected}")

    def _version_fault(self, document):
        declared = document.folder.pools[self.pool].version
        if self.old_version != declared:
            detail = f"{self.old_version!r} is not the declared version {declared!r}"
            return Invalid("from", detail)
        versions = {
            upstream.version
            for upstream in document.folder.upstreams.values()
            if upstream.pool == self.pool
        }
        if self.new_version == declared or self.new_version not in versions:
            detail = f"no upstream of {self.pool!r} has version {self.new_version!r}"
            return Invalid("to", detail)
        return None

    def _running_fault(self, document):
        current = document.rollouts.get(self.pool)
        if current is None or not current.is_running:
            return None
        return Invalid(
            "pool", f"rollout {current.id} of {self.pool!r} is still running"
        )
