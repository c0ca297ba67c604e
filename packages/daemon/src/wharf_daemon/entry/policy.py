"""The decisions of an entry that can be replaced."""

from dataclasses import dataclass
from typing import Protocol

from wharf_coordination import Candidate, Chooser

__all__ = ["EntryPolicy"]


class CandidateChooser(Protocol):
    """A choice of the upstream that runs a call."""

    def choose(self, candidates, now) -> Candidate | None:
        """Return one of the candidates, or None when there is none."""


@dataclass(slots=True)
class EntryPolicy:
    """How an entry chooses upstreams."""

    chooser: CandidateChooser

    @classmethod
    def standard(cls, rng, data_centre):
        """Return the policy that daemons run."""
        return cls(Chooser(rng, data_centre))

    @classmethod
    def plain(cls, chooser):
        """Return a policy that only chooses and retries."""
        return cls(chooser)
