"""Limits on the memory and the connections that all callers of a process take."""

import math

from wharf_gateway.http.byte_budget import ByteBudget
from wharf_gateway.http.piece_turns import PieceTurns

__all__ = ["CallerGuard"]

# Updating all accounts costs about 1 µs each, and a crowd asks thousands of times.
REFRESH_SECONDS = 0.05
DEFAULT_STALL_SECONDS = 2.0


class CallerGuard:
    """Apply a `ByteBudget` and a maximum number of connections.

    `record(cause, connection)` is called for each request that is refused and each
    connection that is closed by a limit. With `socket_buffer_bytes` the kernel's
    buffers of each connection are limited to about that many bytes. `max_header_lines`
    limits the lines of a head. `turns` divides the parsing of small pieces. The other
    defaults limit nothing.
    """

    def __init__(
        self,
        budget=None,
        max_connections=math.inf,
        max_header_lines=math.inf,
        socket_buffer_bytes=None,
        record=None,
        turns=None,
    ):
        self.turns = PieceTurns() if turns is None else turns
        self.budget = budget or ByteBudget(math.inf, DEFAULT_STALL_SECONDS)
        self.max_connections = max_connections
        self.max_header_lines = max_header_lines
        self.socket_buffer_bytes = socket_buffer_bytes
        self._record = record
        self._refreshed_at = -math.inf
        self._full_at = -math.inf
        self._has_turn = False

    def wait_turn(self, connection, loop):
        """Let a connection parse the rest of its pieces in later turns of the loop."""
        self.turns.add(connection)
        if not self._has_turn:
            self._has_turn = True
            loop.call_soon(self._run_turn, loop)

    def _run_turn(self, loop):
        try:
            self.turns.run()
        finally:
            # The others that wait go on if one fails.
            self._has_turn = len(self.turns) > 0
            if self._has_turn:
                loop.call_soon(self._run_turn, loop)

    def record(self, cause, connection):
        """Record that a limit was applied to a connection."""
        if self._record:
            self._record(cause, connection)

    def reserve(self, account, size, now, use, connections):
        """Return whether bytes were reserved, after others were made to free them."""
        if size <= 0:
            return True
        budget = self.budget
        if budget.is_short(account, size, use):
            self._refresh(connections, now)
        decision = budget.reserve(account, size, now, use)
        for victim in decision.victims:
            held = victim.held
            victim.owner.shed()
            victim.owner.update_account(now)
            if victim.held < held:
                self.record("displaced", victim.owner)
        if decision.victims and budget.is_short(account, 0, use):
            # Some have sent or read the rest since the last update.
            budget.release(account, size)
            return False
        return decision.is_granted

    def admit(self, connection, connections, now):
        """Return whether a new connection may stay; close another one for it.

        The one that has waited for a request longest is closed if it did so for the
        stall time, or else the one that has stalled longest in a request or response.
        """
        if len(connections) <= self.max_connections:
            return True
        if now - self._full_at < REFRESH_SECONDS:
            return False
        waiting = [c for c in connections if c is not connection and c.waits_for_head]
        oldest = min(waiting, key=lambda c: c.awaited_since, default=None)
        if oldest and now - oldest.awaited_since >= self.budget.stall_seconds:
            self.record("idle", oldest)
            oldest.shed_idle()
            return True
        others = [c for c in connections if c is not connection]
        stall = self.budget.stall_seconds
        stalled = [c for c in others if c.stalled_seconds(now) >= stall]
        slowest = max(stalled, key=lambda c: c.stalled_seconds(now), default=None)
        if slowest:
            self.record("stalled", slowest)
            slowest.shed()
            return True
        self._full_at = now
        return False

    def _refresh(self, connections, now):
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            for connection in connections:
                connection.update_account(now)
