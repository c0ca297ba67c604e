"""One simulated rollout: several entries, a store and fake traffic."""

from dataclasses import dataclass, field
from random import Random

from result import Ok

from wharf_coordination.rollout import (
    Advance,
    Finish,
    Participant,
    Rollout,
    RolloutOutcome,
    TakeBack,
)
from wharf_standins.rollout_trial.environment import Environment
from wharf_standins.rollout_trial.fake_traffic import FakeTraffic
from wharf_standins.rollout_trial.trial_result import TrialResult

__all__ = ["Trial"]

VETO_BOUND_SECONDS = 2.0
VETO_DELAY_SECONDS = 0.1
RECORD_DELAY_SECONDS = 0.2
END_MARGIN_SECONDS = 5.0


@dataclass
class Trial:
    """Roll out a version of `kind` under `rate` calls per second of simulated time.

    `duration` is the deadline of the rollout in seconds. `store_down` gives begin and
    end of an outage of the store as fractions of it.
    """

    kind: object
    seed: int
    kind_name: str = ""
    duration: float = 60.0
    rate: float = 200.0
    entries: int = 2
    upstreams: int = 3
    store_down: tuple[float, float] | None = None
    environment: Environment = field(default_factory=Environment)

    def run(self) -> TrialResult:
        """Simulate until shortly after the deadline; return the result."""
        self._begin()
        now = 0.0
        end = self._end()
        while now < end:
            rate = self.rate * self.environment.rate_factor(now)
            now += self._rng.expovariate(rate)
            self._deliver_events(now)
            self._evaluate(now)
            self._begin_call(now)
        self._result.outcome = self._record.outcome.value
        self._result.reason = self._record.reason
        return self._result

    def _begin(self):
        self._rng = Random(self.seed)
        self._result = TrialResult(self.kind_name, self.seed)
        self._record = Rollout("r1", "model", "1", "2", self.duration, 0.0)
        self._participants = [
            Participant.join(self._record, 0.0, 0.0) for _ in range(self.entries)
        ]
        self._traffic = FakeTraffic(
            self._rng,
            self.kind,
            "1",
            "2",
            self.upstreams,
            self.duration,
            self.environment,
        )
        self._next_evaluation = 0.0
        self._record_due = None
        self._veto_due = None
        self._number = 0

    def _end(self):
        outage_end = self.store_down[1] if self.store_down else 0.0
        return self.duration * max(1.0, outage_end) + END_MARGIN_SECONDS

    def _begin_call(self, now):
        entry = self._rng.randrange(self.entries)
        self._number += 1
        version = self._participants[entry].version_for(str(self._number), now)
        is_bad = self._traffic.begin(entry, version, now)
        if is_bad and self._result.first_bad_call_at is None:
            self._result.first_bad_call_at = now
        self._count_call(version == self._record.new_version, now)

    def _count_call(self, is_new, now):
        result = self._result
        if result.vetoed_at is None:
            result.calls_before_veto += 1
            result.new_calls_before_veto += is_new
        elif now > result.vetoed_at + VETO_BOUND_SECONDS:
            result.new_calls_late += is_new

    def _deliver_events(self, now):
        for entry, sample in self._traffic.pop_ended(now):
            self._participants[entry].add(sample)
        if self._veto_due and now >= self._veto_due:
            for participant in self._participants:
                participant.veto(self._veto_reason)
            self._veto_due = None
        if self._record_due and now >= self._record_due:
            for participant in self._participants:
                participant.update(self._record, now)
            self._record_due = None

    def _evaluate(self, now):
        if now < self._next_evaluation:
            return
        self._next_evaluation = now + self._participants[0].evaluation_interval
        for participant in self._participants:
            fact = participant.evaluate(now)
            if fact and self._result.vetoed_at is None:
                self._result.vetoed_at = now
                self._veto_due = now + VETO_DELAY_SECONDS
                self._veto_reason = fact.reason
        if self._record_due is None and self._store_is_up(now):
            self._write_record(self._participants[0].decide(now), now)

    def _store_is_up(self, now):
        if self.store_down is None:
            return True
        begin, end = (fraction * self.duration for fraction in self.store_down)
        return not begin <= now < end

    def _write_record(self, action, now):
        record = self._record
        match action:
            case Advance(step):
                changed = record.advance(step, (), fence=1)
            case Finish():
                changed = record.finish((), fence=1)
            case TakeBack(reason):
                changed = record.take_back(reason, (), fence=1)
            case _:
                return
        match changed:
            case Ok(newer):
                self._record = newer
                self._record_due = now + RECORD_DELAY_SECONDS
                if newer.outcome is not RolloutOutcome.RUNNING:
                    self._result.ended_at = now
