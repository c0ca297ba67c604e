"""Divides a fixed number of bytes among the connections of callers."""

from collections import Counter

from wharf_gateway.http.byte_account import ByteAccount
from wharf_gateway.http.byte_decision import ByteDecision
from wharf_gateway.http.byte_use import ByteUse

__all__ = ["ByteBudget"]

# Large bodies may take this part, so that small requests are served beside them.
BODY_SHARE = 0.75
# A client that moves less than this in the stall time counts as stalled. Clients that
# send a byte now and then would otherwise hold their share for as long as they like.
PROGRESS_BYTES = 16 << 10
# A response that can't be refused any more displaces others that nobody reads sooner.
UNREAD_STALL_SHARE = 0.125


class ByteBudget:
    """Reserve bytes before memory grows, fairly by connection and by caller.

    If bytes are short, accounts without progress for `stall_seconds` are emptied first.
    A connection within its fair share may also displace those that exceed theirs. What
    is being handled is never displaced.
    """

    def __init__(self, capacity, stall_seconds):
        self.capacity = capacity
        self.stall_seconds = stall_seconds
        self.used = 0
        self._accounts = set()
        self._held_by_caller = Counter()

    def open(self, owner, caller, now):
        """Return the account of a new connection."""
        return ByteAccount(owner, caller, now)

    def assign(self, account, caller):
        """Record to which caller an account belongs."""
        if account.caller != caller:
            held = account.held
            self.release(account, held)
            account.caller = caller
            self._charge(account, held)

    def record_progress(self, account, size, now):
        """Record that `size` bytes of an account were sent or read by its client."""
        account.moved += size
        if account.moved >= PROGRESS_BYTES:
            account.moved = 0
            account.progress_at = now

    def release(self, account, size):
        """Return bytes of an account to the budget."""
        if size <= 0:
            return
        account.held -= size
        self.used -= size
        self._held_by_caller[account.caller] -= size
        if self._held_by_caller[account.caller] <= 0:
            del self._held_by_caller[account.caller]
        if not account.held:
            self._accounts.discard(account)

    def is_short(self, account, size, use):
        """Return whether bytes can only be had from others, if at all.

        One connection alone gets what it asks for: the limits of the configuration
        apply to it.
        """
        return self._excess(size, use) > 0 and self.used > account.held

    def reserve(self, account, size, now, use) -> ByteDecision:
        """Reserve bytes for an account, possibly at the cost of others."""
        if not self.is_short(account, size, use):
            self._charge(account, size)
            return ByteDecision(True)
        victims = self._victims(account, size, self._excess(size, use), now, use)
        if victims:
            self._charge(account, size)
        return ByteDecision(bool(victims), victims)

    def _excess(self, size, use):
        """Return by how much `size` more bytes exceed what is open to their use."""
        share = BODY_SHARE if use is ByteUse.BODY else 1
        return self.used + size - self.capacity * share

    def _charge(self, account, size):
        if size > 0:
            self._accounts.add(account)
            account.held += size
            self.used += size
            self._held_by_caller[account.caller] += size

    def _victims(self, account, size, needed, now, use):
        """Return accounts that hold `needed` bytes that `account` may have, or none."""
        stall = self.stall_seconds
        if use is ByteUse.RESPONSE:
            stall *= UNREAD_STALL_SHARE
        share = self.capacity / max(1, len(self._accounts | {account}))
        callers = self._held_by_caller.keys() | {account.caller}
        caller_share = self.capacity / len(callers)
        caller_held = self._held_by_caller[account.caller]
        is_entitled = account.held + size <= share or (
            len(callers) > 1 and caller_held + size <= caller_share
        )

        def is_over(other):
            is_caller_over = (
                other.caller != account.caller
                and self._held_by_caller[other.caller] > caller_share
            )
            return other.held > share or is_caller_over

        def is_stalled(other):
            return now - other.progress_at >= stall

        candidates = [
            other
            for other in self._accounts
            if other is not account
            and other.is_waiting
            and (is_stalled(other) or (is_entitled and is_over(other)))
        ]
        candidates.sort(key=lambda other: (not is_stalled(other), -other.held))
        victims = []
        for other in candidates:
            victims.append(other)
            needed -= other.held
            if needed <= 0:
                return tuple(victims)
        return ()
