"""Election of one lease holder, and rejection of orders from earlier holders."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Ok

from wharf_coordination import FencingGuard, Lease, LeaseRecord

DURATION = 6.0
RUNS = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, database=None
)
BROKEN_RUNS = settings(
    RUNS, max_examples=200, phases=[Phase.generate], report_multiple_bugs=False
)
NAMES = ("a", "b", "c")

contenders = st.sampled_from(NAMES)


class LeaseMachine(RuleBasedStateMachine):
    """Contenders share one store and send orders to one guarded upstream."""

    guard_type = FencingGuard
    writes_conditionally = True

    @initialize()
    def start(self):
        self.now = 0.0
        self.version, self.record = 0, LeaseRecord()
        self.lease_by_name = {name: Lease(name, DURATION) for name in NAMES}
        self.sent_writes = []
        self.given_orders = []
        self.guard = self.guard_type(0)
        self.applied = []
        self.holder_by_fencing = {}

    @rule(seconds=st.sampled_from((0.5, 2.0, 5.0, 7.0)))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(name=contenders)
    def read_and_send(self, name):
        lease = self.lease_by_name[name]
        lease.observe(self.record, self.now)
        wanted = lease.next_record(self.now)
        if wanted:
            self.sent_writes.append((name, self.version, wanted))

    @rule(name=contenders)
    def step(self, name):
        self.read_and_send(name)
        self.write_arrives(answer_lost=False, newest=True)

    @rule(name=contenders)
    def take_over(self, name):
        for lease in self.lease_by_name.values():
            lease.observe(self.record, self.now)
        self.now += DURATION
        self.step(name)

    @rule(answer_lost=st.booleans(), newest=st.booleans())
    def write_arrives(self, answer_lost, newest):
        if not self.sent_writes:
            return
        name, version, wanted = self.sent_writes.pop(-1 if newest else 0)
        if self.writes_conditionally and version != self.version:
            return
        self.version, self.record = self.version + 1, wanted
        owner = self.holder_by_fencing.setdefault(wanted.fencing, name)
        assert owner == name, f"number {wanted.fencing} went to {owner} and {name}"
        if not answer_lost:
            self.lease_by_name[name].observe(wanted, self.now)

    @rule()
    def give_order(self):
        self.given_orders += [
            lease.fencing
            for lease in self.lease_by_name.values()
            if lease.is_held(self.now)
        ]

    @rule(age=st.integers(0, 3))
    def order_arrives(self, age):
        # Orders may arrive late, more than once and out of order.
        if age >= len(self.given_orders):
            return
        fencing = self.given_orders[-1 - age]
        if self.guard.check(fencing).is_ok():
            self.applied.append(fencing)

    @invariant()
    def one_holder_at_a_time(self):
        holders = [
            name
            for name, lease in self.lease_by_name.items()
            if lease.is_held(self.now)
        ]
        assert len(holders) <= 1, f"{holders} hold the lease at once"

    @invariant()
    def no_old_order_is_applied(self):
        assert self.applied == sorted(self.applied), f"applied {self.applied}"


class OpenGuard(FencingGuard):
    """Deliberately broken guard that accepts every order."""

    def check(self, fencing):
        return Ok(None)


class UnfencedMachine(LeaseMachine):
    guard_type = OpenGuard


class LastWriteWinsMachine(LeaseMachine):
    writes_conditionally = False


def test_order_of_an_earlier_holder_is_never_applied_under_faults():
    run_state_machine_as_test(LeaseMachine, settings=RUNS)


@pytest.mark.parametrize("machine", [UnfencedMachine, LastWriteWinsMachine])
def test_broken_variant_is_found(machine):
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=BROKEN_RUNS)


def test_holder_paused_past_its_lease_no_longer_relies_on_it():
    lease = Lease("a", duration=6.0)
    lease.observe(LeaseRecord(), now=0.0)
    lease.observe(lease.next_record(now=0.0), now=5.0)
    assert lease.is_held(now=5.9)
    assert not lease.is_held(now=6.0)


def test_next_read_confirms_an_acquisition_whose_response_was_lost():
    lease = Lease("a", duration=6.0)
    lease.observe(LeaseRecord(), now=0.0)
    wanted = lease.next_record(now=1.0)
    assert not lease.is_held(now=1.5)
    lease.observe(wanted, now=2.0)
    assert lease.is_held(now=6.9)
    assert not lease.is_held(now=7.0)


def test_new_process_with_the_name_of_the_holder_does_not_hold_the_lease():
    lease = Lease("a", duration=6.0)
    lease.observe(LeaseRecord("a", fencing=3), now=0.0)
    assert not lease.is_held(now=0.0)
    assert lease.next_record(now=5.9) is None
    assert lease.next_record(now=6.0) == LeaseRecord("a", fencing=4)
