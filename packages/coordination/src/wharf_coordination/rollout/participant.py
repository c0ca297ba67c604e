"""One entry's part in a rollout: it routes, judges, vetoes and drives."""

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

__all__ = ["Participant"]

HASH_RANGE = 2**64
MIN_WINDOW_SECONDS = 2.0
MAX_WINDOW_SECONDS = 120.0
WINDOWS_PER_ROLLOUT = 6


@dataclass(slots=True)
class Participant:
    """Follow one rollout from the moment this process first saw it."""

    view: RolloutView
    evidence: Evidence
    driver: Driver = field(default_factory=lambda: Driver(Judge()))

    @classmethod
    def join(cls, rollout: Rollout, now, wall_now):
        """Return the part of a process that first sees `rollout` at `now`."""
        window = rollout.duration / WINDOWS_PER_ROLLOUT
        window = min(MAX_WINDOW_SECONDS, max(MIN_WINDOW_SECONDS, window))
        evidence = Evidence(rollout.old_version, rollout.new_version, window)
        return cls(RolloutView.begin(rollout, now, wall_now), evidence)

    @property
    def rollout(self):
        """Return the newest record seen."""
        return self.view.rollout

    @property
    def evaluation_interval(self):
        """Return the seconds between two looks at the evidence."""
        return self.rollout.duration / self.driver.judge.looks

    def update(self, rollout: Rollout, now):
        """Take over a newer record of the same rollout."""
        self.view = self.view.update(rollout, now)

    def version_for(self, request_id, now):
        """Return the version for a request; equal ids get equal versions."""
        rollout = self.rollout
        name = f"{rollout.id}/{request_id}".encode()
        if xxhash.xxh64_intdigest(name) < self.view.share(now) * HASH_RANGE:
            return rollout.new_version
        return rollout.old_version

    def add(self, sample: Sample):
        """Take one ended attempt as evidence."""
        if self.rollout.is_running:
            self.evidence.add(sample)

    def veto(self, reason):
        """Give the new version no more traffic, whatever is learned later."""
        self.view = self.view.veto(reason)

    def evaluate(self, now) -> Fact | None:
        """Judge the evidence; return the veto if it is found bad now."""
        if self.view.vetoed or not self.rollout.is_running:
            return None
        fault = self.driver.judge.find_fault(self.evidence, now)
        if fault is None:
            return None
        self.veto(fault.reason)
        return Fact(FactKind.VETO, self.rollout.veto_subject, fault.reason)

    def decide(self, now) -> Action:
        """Return the change of the record to write now, if elected to."""
        return self.driver.decide(self.view, self.evidence, now)
