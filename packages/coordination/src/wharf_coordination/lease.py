"""Leader election by a time-limited lease with a fencing number."""

from dataclasses import dataclass, replace

__all__ = ["Lease", "LeaseRecord"]

DURATION_SECONDS = 6.0
RENEWALS_PER_DURATION = 3
HOLDERS_PER_ERA = 1_000_000_000


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as stored.

    `fencing` increases by one with each new holder, and to the first one of the era if
    the store has come back from a copy. `renewals` changes with each renewal, so that
    contenders see that the holder is alive. An empty `holder` means that the lease was
    released.
    """

    holder: str = ""
    fencing: int = 0
    renewals: int = 0


@dataclass(slots=True)
class Lease:
    """Decide when a contender acquires, renews and stops relying on a lease.

    Clocks of different processes are never compared: a contender acquires the lease
    once it has seen the same record for `duration` seconds, and the holder relies
    on it for `duration` seconds counted from just before its last write was sent.
    Times are in seconds of the local monotonic clock. Safety depends only on the
    conditional write and the fencing number; the lease just elects a holder.
    """

    name: str
    duration: float = DURATION_SECONDS
    record: LeaseRecord | None = None
    _seen_at: float = 0.0
    _held_until: float = 0.0
    _sent: LeaseRecord | None = None
    _sent_at: float = 0.0

    @property
    def fencing(self):
        """Return the fencing number of the last record seen, or 0 if none was."""
        return self.record.fencing if self.record else 0

    def is_held(self, now):
        """Return whether this contender may act as the holder at `now`.

        >>> lease = Lease("a", duration=6.0)
        >>> lease.observe(LeaseRecord(), now=0.0)
        >>> wanted = lease.next_record(now=0.0)
        >>> lease.observe(wanted, now=0.1)
        >>> lease.is_held(now=5.9), lease.is_held(now=6.0), lease.fencing
        (True, False, 1)
        """
        return self._is_holder() and now < self._held_until

    def observe(self, record, now):
        """Update the state with the stored record, as read or as just written."""
        if record == self._sent:
            self._held_until = self._sent_at + self.duration
            self._sent = None
        elif record == self.record:
            return
        elif record.fencing != self.fencing or record.holder != self.name:
            self._held_until = 0.0
        self.record, self._seen_at = record, now

    def next_record(self, now, era=None) -> LeaseRecord | None:
        """Return the record to write now, or None if there is nothing to write.

        `era` is that of the store at which the last record was read.
        The write must be conditional on the object version that was read. The lease
        is held once that record is observed, in the response to the write or, if
        the response was lost, in a later read.
        """
        wanted = self._next_record(now, era or 0)
        if wanted is not None:
            self._sent, self._sent_at = wanted, now
        return wanted

    def released_record(self) -> LeaseRecord:
        """Stop relying on the lease; return the record that releases it.

        The record keeps the fencing number.
        """
        self._held_until = 0.0
        return LeaseRecord("", self.fencing)

    def _next_record(self, now, era):
        record = self.record
        if record is None:
            return None
        if self.is_held(now):
            return self._renewal(now)
        if record.holder and now < self._seen_at + self.duration:
            return None
        fencing = max(record.fencing + 1, era * HOLDERS_PER_ERA + 1)
        return LeaseRecord(self.name, fencing)

    def _renewal(self, now):
        renew_at = self._held_until - self.duration * (1 - 1 / RENEWALS_PER_DURATION)
        if now < renew_at:
            return None
        return replace(self.record, renewals=self.record.renewals + 1)

    def _is_holder(self):
        return self.record is not None and self.record.holder == self.name
