"""Search over orderings for two holders of a duty that act for the platform at once."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from wharf_coordination.duties import DutyLease, DutyRecord

__all__ = ["DutySearch"]

DURATION = 3.0
MARGIN = 0.6
CALL_SECONDS = 0.5  # a call to the platform arrives within this time or never
STORE_TIMEOUT = 0.6
RENEW_SECONDS = 0.9
TICK = 0.1
MACHINES = 3
PLAY_SECONDS = 40.0


class _Machine:
    """A gateway's part: one call to the store at a time, and acts while it is sure."""

    def __init__(self, name, search):
        self.name = name
        self.offset = search.rng.uniform(0.0, 1000.0)
        self.unix_offset = search.rng.uniform(-2.0, 2.0)
        self.paused_until = 0.0
        self.lives = 0
        self.start(search)

    def start(self, search):
        """Start a process, which knows nothing."""
        self.lives += 1
        now = search.now + self.offset
        incarnation = f"{self.name}/{self.lives}"
        self.lease = search.make_lease(self.name, incarnation, now)
        self.era = None
        self.call_ends_at = None
        self.call_number = 0
        self.renewed_at = float("-inf")
        self.acted_at = float("-inf")
        self.is_leaving = False


class DutySearch:
    """Play one ordering that a seed draws; `run()` returns the fault found, or None.

    Processes are paused, restarted and release the lease; writes are done seconds
    later, answers and notices are lost, and the store is restored from a copy. With
    `is_conditional` False the store ignores the version that a write names.
    """

    def __init__(self, seed, lease_type=DutyLease, *, is_conditional=True):
        self.rng = Random(seed)
        self.now = 0.0
        self._lease_type = lease_type
        self._is_conditional = is_conditional
        self._events = []
        self._numbers = count()
        self._era, self._revision, self._record = 1, 0, None
        self._record_revision = 0
        self._copies = [(0, 0, None)]
        self._acts = []
        self.act_count = 0
        self._machines = [_Machine(f"m{n}", self) for n in range(MACHINES)]

    def make_lease(self, name, incarnation, now):
        """Return the lease of a process that starts."""
        return self._lease_type(name, incarnation, DURATION, MARGIN, now)

    def run(self):
        """Return the first fault as a text, or None."""
        for machine in self._machines:
            self._at(self.rng.uniform(0, TICK), lambda m=machine: self._tick(m))
        self._at(self.rng.uniform(3, 12), self._copy)
        while self._events and self.now < PLAY_SECONDS:
            self.now, _, action = heappop(self._events)
            action()
        return self._fault()

    def _at(self, delay, action):
        heappush(self._events, (self.now + delay, next(self._numbers), action))

    def _wake(self, machine, action):
        """Do something at a machine, after its pause if it is paused."""
        if self.now < machine.paused_until:
            delay = machine.paused_until - self.now
            self._at(delay, lambda: self._wake(machine, action))
        else:
            action()

    def _copy(self):
        self._copies.append((self._revision, self._record_revision, self._record))
        if self.rng.random() < 0.3:
            self._at(self.rng.uniform(0.1, 6.0), self._restore)
        self._at(self.rng.uniform(3, 12), self._copy)

    def _restore(self):
        copy = self.rng.choice(self._copies[-2:])
        self._revision, self._record_revision, self._record = copy
        self._copies = [copy]
        self._era += 1

    def _tick(self, machine):
        if self.now < machine.paused_until:
            self._at(machine.paused_until - self.now, lambda: self._tick(machine))
            return
        self._at(TICK, lambda: self._tick(machine))
        rng, lease, now = self.rng, machine.lease, self.now + machine.offset
        if rng.random() < 0.006:
            machine.paused_until = self.now + rng.choice((0.4, 1.5, 2.6, 3.4, 7.0))
        if rng.random() < 0.002:
            machine.start(self)
            return
        if lease.is_valid(now) and not machine.is_leaving and rng.random() < 0.5:
            machine.acted_at = now
            self._act(machine, lease.token)
        if machine.call_ends_at is not None and now < machine.call_ends_at:
            return
        machine.is_leaving = lease.is_holder and (
            machine.is_leaving or rng.random() < 0.01
        )
        if machine.is_leaving and now >= machine.acted_at + CALL_SECONDS:
            # A call that is under way must not arrive after those of the next holder.
            machine.is_leaving = False
            self._send(machine, lease.release(now))
        elif lease.is_holder and not lease.needs_read:
            if now >= machine.renewed_at + RENEW_SECONDS:
                machine.renewed_at = now
                self._send(machine, lease.renew(now, None))
        elif lease.is_holder or (lease.needs_read and lease.version is None):
            self._list(machine)
        elif lease.may_take(now):
            if lease.needs_read:
                self._list(machine)
            else:
                unix_ms = (self.now + machine.unix_offset + 5000) * 1000
                if rng.random() < 0.05:
                    machine.unix_offset = rng.uniform(-2.0, 2.0)
                self._send(machine, lease.acquire(now, unix_ms))

    def _delay(self):
        return self.rng.choice((0.005,) * 12 + (0.3, 0.5, 1.5, 4.0))

    def _call(self, machine, execute, on_answer):
        """Do something at the store, and let the machine know unless that is lost."""
        machine.call_number += 1
        number, lives = machine.call_number, machine.lives
        machine.call_ends_at = self.now + machine.offset + STORE_TIMEOUT
        is_lost = self.rng.random() < 0.1

        def arrive():
            found, era = execute(), self._era
            if not is_lost:
                self._at(
                    self._delay(), lambda: self._wake(machine, deliver(found, era))
                )

        def deliver(found, era):
            def handle():
                if (machine.call_number, machine.lives) != (number, lives):
                    return
                if self.now + machine.offset >= machine.call_ends_at:
                    return
                machine.call_ends_at = None
                now = self.now + machine.offset
                if machine.era is not None and era > machine.era:
                    machine.lease.forget(now)
                machine.era = max(era, machine.era or 0)
                if era == machine.era:
                    on_answer(found, era, now)

            return handle

        self._at(self._delay(), arrive)

    def _list(self, machine):
        def execute():
            return self._record_revision if self._record else 0, self._record

        def on_answer(found, era, now):
            machine.lease.observe((era, found[0]), found[1], now)

        self._call(machine, execute, on_answer)

    def _send(self, machine, write):
        if write is None:
            return
        lease = machine.lease

        def execute():
            revision = self._record_revision if self._record else 0
            if self._is_conditional and revision != write.version[1]:
                return None
            self._revision += 1
            self._record_revision, self._record = self._revision, write.record
            return self._revision

        def on_answer(revision, era, now):
            if revision is None:
                lease.refuse(write, now)
            elif era == write.version[0]:
                lease.acknowledge(write, (era, revision), now)
                self._tell(machine, (era, revision), write.record)

        self._call(machine, execute, on_answer)

    def _tell(self, machine, version, record: DutyRecord):
        for other in self._machines:
            if other is machine or self.rng.random() < 0.1:
                continue

            def hear(other=other):
                known = other.lease.version
                if known is not None and known[0] == version[0] and version > known:
                    other.lease.hear(version, record.token, self.now + other.offset)
                else:
                    other.lease.hear_token(record.token)

            delay = self._delay()
            self._at(delay, lambda other=other, hear=hear: self._wake(other, hear))

    def _act(self, machine, token):
        self.act_count += 1
        when = self.now + self.rng.uniform(0.001, CALL_SECONDS)
        self._acts.append((when, machine.name, token))

    def _fault(self):
        owner_by_token, highest, last_by_name = {}, 0, {}
        previous = None
        for when, name, token in sorted(self._acts):
            if owner_by_token.setdefault(token, name) != name:
                return f"{name} and {owner_by_token[token]} have the token {token}"
            if token < highest:
                return f"{name} acts with {token} after {highest}"
            highest = token
            if previous not in (None, name):
                gap = when - last_by_name.get(name, float("-inf"))
                if gap < DURATION:
                    return f"{name}, {previous}, {name} within {gap:.2f} s"
            last_by_name[name] = when
            previous = name
        return None
