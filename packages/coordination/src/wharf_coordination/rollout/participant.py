"""Participation of one process in a rollout: routing, evaluation, veto, driving."""

from dataclasses import dataclass, field

import xxhash

from wharf_coordination.fact import Fact, FactKind
from wharf_coordination.rollout.action import Action
from wharf_coordination.rollout.driver import Driver
from wharf_coordination.rollout.evidence import Evidence
from wharf_coordination.rollout.judge import Judge
from wharf_coordination.rollout.rollout import Rollout
from wharf_coordination.rollout.rollout_view import RolloutView
from wharf_coordination.rollout.sample import Sample
from wharf_coordination.rollout.verdict import Bad, Undecided

__all__ = ["Participant"]

HASH_RANGE = 2**64
MIN_WINDOW_SECONDS = 2.0
MAX_WINDOW_SECONDS = 120.0
WINDOWS_PER_ROLLOUT = 6


@dataclass(slots=True)
class Participant:
    """State of one rollout in this process since it first saw the rollout."""

    view: RolloutView
    evidence: Evidence
    driver: Driver = field(default_factory=lambda: Driver(Judge()))

    @classmethod
    def join(cls, rollout: Rollout, now, wall_now):
        """Return the participant of a process that first sees `rollout` at `now`."""
        window = rollout.duration / WINDOWS_PER_ROLLOUT
        window = min(MAX_WINDOW_SECONDS, max(MIN_WINDOW_SECONDS, window))
        evidence = Evidence(rollout.old_version, rollout.new_version, window)
        return cls(RolloutView.begin(rollout, now, wall_now), evidence)

    @property
    def rollout(self):
        """Return the latest record."""
        return self.view.rollout

    @property
    def evaluation_interval(self):
        """Return the seconds between two evaluations of the evidence."""
        return self.rollout.duration / self.driver.judge.looks

    def update(self, rollout: Rollout, now):
        """Replace the record with a newer one of the same rollout."""
        self.view = self.view.update(rollout, now)

    def share(self, now):
        """Return the new version's share of the requests, 0 to 1."""
        return self.view.share(now, self.evidence.call_rate(now))

    def version_for(self, request_id, now):
        """Return the version for a request, which is the same for equal ids."""
        rollout = self.rollout
        key = f"{rollout.id}/{request_id}".encode()
        if xxhash.xxh64_intdigest(key) < self.share(now) * HASH_RANGE:
            return rollout.new_version
        return rollout.old_version

    def add(self, sample: Sample):
        """Add the outcome of an attempt to the evidence while the rollout runs."""
        if self.rollout.is_running:
            self.evidence.add(sample)

    def veto(self, reason):
        """Give the new version no more traffic, irrevocably."""
        self.view = self.view.veto(reason)

    def evaluate(self, now) -> Fact | None:
        """Evaluate the evidence; return a veto if the new version is found worse."""
        if self.view.vetoed or not self.rollout.is_running:
            return None
        regression = self.driver.judge.find_regression(self.evidence, now)
        if regression is None:
            return None
        self.veto(regression.reason)
        return Fact(FactKind.VETO, self.rollout.veto_subject, regression.reason)

    def is_suspected(self, now) -> bool:
        """Return whether the evidence points to a bad version."""
        match self.driver.verdict(self.view, self.evidence, now):
            case Undecided(is_suspected=is_suspected):
                return is_suspected
            case verdict:
                return isinstance(verdict, Bad)

    def decide(self, now) -> Action:
        """Return the change to write now; only the elected process may write it."""
        return self.driver.decide(self.view, self.evidence, now)
