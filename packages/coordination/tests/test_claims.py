"""Claims under lost responses, conflicts, crashes, retries and expiry."""

from copy import deepcopy
from dataclasses import dataclass

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from wharf_coordination.claims import (
    Applied,
    Claim,
    ClaimShard,
    Finish,
    Full,
    GiveUp,
    Granted,
    InProgress,
    KeyExpired,
    KeyReused,
    Recorded,
    Release,
    Superseded,
)

RUNS = settings(
    max_examples=100, stateful_step_count=40, derandomize=True, database=None
)
BROKEN_RUNS = settings(
    RUNS, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False
)
RETENTION = 100.0
UNITS = (b"hold-1", b"hold-2")
BODY = b"body"

picks = st.integers(0, 2)


@dataclass
class Submission:
    """One submission of a request by a caller, and its state."""

    unit: bytes
    token: str
    operation: object
    outcome: object = None
    started: bool = False
    said_not_run: bool = False


@dataclass
class Write:
    """A conditional write that is in flight to the store."""

    version: int
    shard: ClaimShard
    submission: Submission
    outcome: object


class ClaimMachine(RuleBasedStateMachine):
    """Claimants on many entries share one shard in one store."""

    writes_conditionally = True
    dispatches_before_the_claim = False
    releases_after_a_start = False

    @initialize()
    def start(self):
        self.now = 0.0
        self.version, self.shard = 0, ClaimShard()
        self.submissions, self.writes = [], []
        self.starts_by_unit = dict.fromkeys(UNITS, 0)
        self.answer_by_unit = {}

    @rule(unit=st.sampled_from(UNITS))
    def submit(self, unit):
        token = f"t{len(self.submissions)}"
        submission = Submission(unit, token, Claim(unit, token, BODY))
        self.submissions.append(submission)
        if self.dispatches_before_the_claim:
            self._dispatch(submission)

    @precondition(lambda self: self.submissions)
    @rule(pick=picks)
    def read_and_send(self, pick):
        submission = self._pick(pick)
        if submission.operation is None:
            return
        shard = deepcopy(self.shard)
        shard.is_changed = False
        shard.drop_expired(self.now, RETENTION)
        outcome = shard.apply(submission.operation, self.now)
        if shard.is_changed:
            write = Write(self.version, shard, submission, outcome)
            self.writes.append(write)
        else:
            self._learn(submission, outcome)

    @precondition(lambda self: self.submissions)
    @rule(pick=picks)
    def commit(self, pick):
        writes = len(self.writes)
        self.read_and_send(pick)
        if len(self.writes) > writes:
            self.write_arrives(pick=0, answer_lost=False)

    @precondition(lambda self: self.writes)
    @rule(pick=picks, answer_lost=st.booleans())
    def write_arrives(self, pick, answer_lost):
        write = self.writes.pop(-1 - pick % len(self.writes))
        if self.writes_conditionally and write.version != self.version:
            return
        self.version, self.shard = self.version + 1, write.shard
        if not answer_lost:
            self._learn(write.submission, write.outcome)

    @precondition(lambda self: self.submissions)
    @rule(pick=picks)
    def claimant_gives_up_waiting_for_its_claim(self, pick):
        submission = self._pick(pick)
        if isinstance(submission.operation, Claim) and not submission.started:
            submission.said_not_run = True
            self._release(submission)

    @precondition(lambda self: self.submissions)
    @rule(pick=picks, end=st.sampled_from(("answer", "not run", "unknown")))
    def run_ends(self, pick, end):
        submission = self._pick(pick)
        if not submission.started or submission.operation is not None:
            return
        if end == "answer":
            answer = submission.token.encode()
            self.answer_by_unit.setdefault(submission.unit, answer)
            submission.operation = Finish(
                submission.unit, submission.token, BODY, answer
            )
        elif self.releases_after_a_start:
            self._release(submission)
        else:
            submission.operation = GiveUp(submission.unit, submission.token, BODY)

    @precondition(lambda self: self.submissions)
    @rule(pick=picks)
    def claimant_crashes(self, pick):
        self._pick(pick).operation = None

    @rule(seconds=st.sampled_from((1.0, RETENTION)))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def each_unit_starts_at_most_once(self):
        assert max(self.starts_by_unit.values()) <= 1, self.starts_by_unit

    @invariant()
    def not_run_is_true(self):
        assert not any(s.started and s.said_not_run for s in self.submissions)

    def _pick(self, pick):
        return self.submissions[-1 - pick % len(self.submissions)]

    def _learn(self, submission, outcome):
        if submission.operation is None:
            return
        match outcome:
            case Granted() if isinstance(submission.operation, Claim):
                submission.operation = None
                self._dispatch(submission)
            case Recorded(answer=answer):
                assert answer == self.answer_by_unit[submission.unit]
                submission.operation = None
            case InProgress() | Granted():
                pass
            case _:
                submission.operation = None

    def _dispatch(self, submission):
        if not submission.started:
            submission.started = True
            self.starts_by_unit[submission.unit] += 1

    def _release(self, submission):
        submission.operation = Release(submission.unit, submission.token, BODY)


class ClaimAfterDispatch(ClaimMachine):
    dispatches_before_the_claim = True


class LastWriteWins(ClaimMachine):
    writes_conditionally = False


class ReleasedAfterAStart(ClaimMachine):
    releases_after_a_start = True


class ForgetsExpiredKeys(ClaimMachine):
    @rule()
    def forget(self):
        self.shard.drop_expired(self.now, RETENTION)
        self.shard.spent.clear()


BROKEN = [ClaimAfterDispatch, LastWriteWins, ReleasedAfterAStart, ForgetsExpiredKeys]


def test_each_unit_runs_at_most_once_under_faults():
    run_state_machine_as_test(ClaimMachine, settings=RUNS)


@pytest.mark.parametrize("machine", BROKEN)
def test_broken_variant_is_found(machine):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=BROKEN_RUNS)


@pytest.fixture
def shard():
    return ClaimShard()


def test_reuse_of_a_key_with_another_body_is_reported(shard):
    shard.apply(Claim(b"u", "a", b"one"), now=0.0)
    assert shard.apply(Claim(b"u", "b", b"two"), now=0.0) == KeyReused()


def test_late_claim_after_its_own_release_is_not_granted(shard):
    shard.apply(Release(b"u", "a", BODY), now=0.0)
    assert shard.apply(Claim(b"u", "a", BODY), now=0.0) == Superseded()
    assert shard.apply(Claim(b"u", "b", BODY), now=0.0) == Granted()


def test_end_is_recorded_once_however_often_it_is_applied(shard):
    shard.apply(Claim(b"u", "a", BODY), now=0.0)
    finish = Finish(b"u", "a", BODY, b"answer")
    assert [shard.apply(finish, now=0.0) for _ in range(2)] == [Applied(), Applied()]
    assert shard.apply(Claim(b"u", "b", BODY), now=0.0) == Recorded(b"answer")


def test_undated_key_stays_spent_after_its_retention(shard):
    shard.apply(Claim(b"u", "a", BODY), now=0.0)
    shard.drop_expired(now=101.0, retention=RETENTION)
    assert shard.record_by_digest == {}
    assert shard.apply(Claim(b"u", "b", BODY), now=101.0) == KeyExpired()


def test_full_shard_grants_nothing_but_records_pending_answers():
    shard = ClaimShard(max_bytes=4000)
    outcomes = [
        shard.apply(Claim(bytes([number]), "a", BODY), now=0.0) for number in range(9)
    ]
    granted = outcomes.count(Granted())
    assert 0 < granted < 9
    assert outcomes[granted:] == [Full()] * (9 - granted)
    for number in range(granted):
        finish = Finish(bytes([number]), "a", BODY, bytes(1024))
        assert shard.apply(finish, now=0.0) == Applied()
    assert shard.size <= 4000
