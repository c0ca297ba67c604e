"""Reports of decided windows to the platform."""

import asyncio

import structlog

__all__ = ["UsageReporter"]

log = structlog.get_logger(__name__)

STEP_SECONDS = 0.05
# The other contenders know of a decision by then, also if the store loses it.
TELL_SECONDS = 0.05
FIRST_PAUSE_SECONDS = 0.3
LONGEST_PAUSE_SECONDS = 2.0
LAST_CALL_SECONDS = 0.2  # before a report is due, so that it arrives in time


class UsageReporter:
    """Send each decided window until the platform has it or it is overdue.

    `stored_at` is when the last decision was stored. With `is_leaving` no call begins.
    """

    def __init__(self, lease, ledger, caller, dialect, clock, unix, meter, name):
        self._lease = lease
        self._ledger = ledger
        self._caller = caller
        self._dialect = dialect
        self._clock = clock
        self._unix = unix
        self._meter = meter
        self._name = name
        self._next_by_window = {}
        self.stored_at = float("-inf")
        self.is_leaving = False
        self.is_calling = False

    async def run(self):
        """Report until cancelled."""
        while True:
            await asyncio.sleep(STEP_SECONDS)
            await self.step()

    async def step(self):
        """Report the windows that are due now."""
        now = self._clock()
        if now < self.stored_at + TELL_SECONDS or not self._may_call():
            return
        for window, counts in sorted(
            self._lease.record.decision.counts_by_window.items()
        ):
            if window in self._ledger.reported:
                continue
            last_at = self._ledger.due(window) - LAST_CALL_SECONDS
            if self._unix(self._clock()) >= last_at:
                self._finish(window, "overdue")
                continue
            next_at, _ = self._next_by_window.get(window, (now, 0.0))
            if self._clock() >= next_at and self._may_call():
                await self._report(window, counts)

    def _may_call(self):
        return not self.is_leaving and self._lease.is_valid(self._clock())

    async def _report(self, window, counts):
        token = self._lease.token
        call = self._dialect.usage_call(window, counts, self._name, token)
        self.is_calling = True
        try:
            status = await self._caller.call("usage", *call, self._may_call)
        finally:
            self.is_calling = False
        if status == 200:
            self._finish(window, "reported")
            log.info("usage_reported", window=window, token=token)
            return
        _, pause = self._next_by_window.get(window, (None, FIRST_PAUSE_SECONDS))
        self._next_by_window[window] = (
            self._clock() + pause,
            min(2 * pause, LONGEST_PAUSE_SECONDS),
        )
        log.info("usage_not_reported", window=window, status=status)

    def _finish(self, window, outcome):
        self._ledger.reported.add(window)
        self._next_by_window.pop(window, None)
        self._meter.count("wharf_usage_windows", outcome)
        if outcome == "overdue":
            log.warning("usage_overdue", window=window)
