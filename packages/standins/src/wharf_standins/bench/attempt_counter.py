"""Counts of first attempts, retries and redirects."""

from dataclasses import dataclass, field

from wharf_coordination import Ran

__all__ = ["AttemptCounter"]


@dataclass
class AttemptCounter:
    """Count the attempts of all entries.

    A retry follows an attempt that may have run; a redirect follows one that a
    sidecar refused as not run.
    """

    first_tries: int = 0
    retries: int = 0
    redirects: int = 0
    _last_by_stage: dict = field(default_factory=dict)

    def add(self, outcome):
        """Count one ended attempt."""
        key = outcome.task.request.id, outcome.task.stage.name
        last = self._last_by_stage.get(key)
        self._last_by_stage[key] = outcome.refusal
        if key not in self._last_by_stage or last is None:
            self.first_tries += 1
        elif last.ran is Ran.NO:
            self.redirects += 1
        else:
            self.retries += 1
