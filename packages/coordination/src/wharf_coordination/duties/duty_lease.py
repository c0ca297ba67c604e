"""The lease of a duty, as one contender sees it."""

from dataclasses import replace

from wharf_coordination.duties.duty_record import DutyRecord
from wharf_coordination.duties.duty_write import DutyWrite

__all__ = ["DutyLease"]


class DutyLease:
    """Decide when a contender takes, renews, releases and relies on a lease.

    All times are in seconds of a clock of the contender that counts suspensions; clocks
    of different contenders are never compared. Versions are positions of the record in
    the store that are never used for two writes, also while there is no record. A
    holder relies on the lease until `margin` before `duration` has passed since the
    sending of an acknowledged write. Others take over once they have seen the same
    version for longer than `duration`.
    """

    def __init__(self, name, incarnation, duration, margin, started_at):
        self.name = name
        self.incarnation = incarnation
        self.duration = duration
        self.margin = margin
        self.record = None
        self.version = None
        self.held_since = None
        self._is_read = False
        self._seen_at = started_at
        self._not_before = started_at + duration
        self._highest_token = 0
        self._valid_until = float("-inf")
        self._is_unsure = False
        self._number = 0
        self._sent_by_number = {}

    @property
    def is_holder(self):
        """Return whether the record is this contender's, though perhaps outdated."""
        return self.held_since is not None

    @property
    def needs_read(self):
        """Return whether the record has to be read before anything is written."""
        return not self._is_read

    @property
    def token(self):
        """Return the token of the last record seen, or 0."""
        return self.record.token if self.record else 0

    def is_valid(self, now):
        """Return whether this contender may act as the holder at `now`."""
        return self.is_holder and not self._is_unsure and now < self._valid_until

    def observe(self, version, record, now):
        """Update the state by the stored record as read, None if there is none."""
        write = self._own_write(record)
        if version != self.version:
            self._seen_at = now
            # Writes without an answer were conditional on the version before.
            self._sent_by_number = {write.record.number: write} if write else {}
        # A write of an earlier era may be done late, over a newer one of this process.
        is_known = self.is_holder and record == self.record
        self._is_read = True
        self.version, self.record = version, record
        if record is not None:
            self.hear_token(record.token)
        if write is not None:
            self.acknowledge(write, version, now)
        elif is_known:
            self._is_unsure = False
        else:
            self._lose(now)

    def hear(self, version, token, now):
        """Record that a peer says it has written `version`, which must be newer.

        Its contents have to be read before the lease is taken.
        """
        self.hear_token(token)
        if version != self.version:
            self.version, self._seen_at, self._is_read = version, now, False
            if self.is_holder:
                self._is_unsure = True

    def hear_token(self, token):
        """Record a token that was seen anywhere."""
        self._highest_token = max(self._highest_token, token)

    def forget(self, now):
        """Leave the lease as the store was restored: the record may be any old one."""
        self._is_read = False
        self.version = None
        self._sent_by_number.clear()
        self._lose(now)
        # The last holder may rely on what it wrote until now.
        self._not_before = max(self._not_before, now + self.duration)

    def may_take(self, now):
        """Return whether the lease seems free to this contender."""
        if self.is_holder or now < self._not_before:
            return False
        is_free = self._is_read and (self.record is None or not self.record.holder)
        return is_free or now > self._seen_at + self.duration

    def acquire(self, now, unix_ms, decision=None) -> DutyWrite | None:
        """Return the write that takes the lease, or None if it may not be taken.

        `decision` replaces that of the record, `unix_ms` is the time of day in
        milliseconds.
        """
        if not self._is_read or not self.may_take(now):
            return None
        token = max(self._highest_token + 1, int(unix_ms))
        return self._write(DutyRecord(self.name, token=token, decision=decision), now)

    def renew(self, now, decision) -> DutyWrite | None:
        """Return the write that renews the lease with a decision, None if not held."""
        if not self.is_holder or not self._is_read:
            return None
        return self._write(replace(self.record, decision=decision), now)

    def release(self, now, decision=None) -> DutyWrite | None:
        """Stop relying on the lease; return the write that releases it.

        A `decision` replaces that of the record.
        """
        if not self.is_holder:
            return None
        is_read = self._is_read
        self._lose(now)
        if not is_read:
            return None
        decision = self.record.decision if decision is None else decision
        return self._write(replace(self.record, holder="", decision=decision), now)

    def acknowledge(self, write, version, now):
        """Record that the store has done a write, whose version is `version`."""
        if self._sent_by_number.get(write.record.number) is not write:
            return
        # Earlier writes were conditional on versions that are gone.
        self._sent_by_number.clear()
        self._is_read, self._is_unsure = True, False
        self.version, self.record, self._seen_at = version, write.record, now
        if not write.record.holder:
            self._lose(now)
            return
        if self.held_since is None:
            self.held_since = now
        self._valid_until = write.sent_at + self.duration - self.margin

    def refuse(self, write, now):
        """Record that the store refused a write, as the version is another one."""
        self._sent_by_number.pop(write.record.number, None)
        self._is_read, self._is_unsure = False, True

    def _write(self, record, now):
        self._number += 1
        record = replace(record, incarnation=self.incarnation, number=self._number)
        write = DutyWrite(record, self.version, now)
        self._sent_by_number[self._number] = write
        return write

    def _own_write(self, record):
        """Return the write without an answer that the record shows, or None."""
        if not self._is_own(record):
            return None
        return self._sent_by_number.get(record.number)

    def _is_own(self, record):
        return record is not None and record.incarnation == self.incarnation

    def _lose(self, now):
        """Stop relying on the lease; if it was held, don't take it for its duration."""
        if self.is_holder:
            self._not_before = max(self._not_before, now + self.duration)
        self.held_since = None
        self._valid_until = float("-inf")
        self._is_unsure = False
