"""Containment of requests that crash upstreams, in the sidecar."""

import asyncio

from result import Err, Ok, Result

from wharf_coordination import Code, CrashTracker, Refusal, Verdict
from wharf_daemon.crash_records import CrashRecords
from wharf_wire import Facts

__all__ = ["CrashMonitor"]

PROBE_INTERVAL_SECONDS = 0.1


class CrashMonitor:
    """Admit one suspected call at a time and report calls running at a crash.

    The sidecar sees the calls of all entries, so two suspects never run on its
    upstream at once, even if an entry lacks some facts. After a crash all calls
    are refused until `is_answering` returns true: a call sent to a dead upstream
    must not be counted as the cause of the crash.
    """

    def __init__(self, facts, gate, run_id, is_answering):
        self._records = CrashRecords(facts)
        self._gate = gate
        self._watch = CrashTracker(run_id)
        self._running_suspect = None
        self._is_answering = is_answering
        self._probe = None

    def close(self):
        """Stop probing the upstream."""
        if self._probe is not None:
            self._probe.cancel()

    def admit(self, call) -> Result[None, Refusal]:
        """Refuse condemned calls, and suspects while another suspect runs."""
        if self._probe is not None:
            return Err(Refusal.not_run(Code.UPSTREAM_FAILED, "upstream is down"))
        match self._records.verdict(call.fingerprint):
            case Verdict.CONDEMNED:
                return Err(Refusal.not_run(Code.REQUEST_CONDEMNED, call.fingerprint))
            case Verdict.SUSPECT if self._running_suspect is not None:
                return Err(Refusal.not_run(Code.SUSPECT_WAITS, self._running_suspect))
        return Ok(None)

    def begin(self, call):
        """Register the start of an admitted call and return its epoch."""
        if self._records.verdict(call.fingerprint) is Verdict.SUSPECT:
            self._running_suspect = call.attempt
        return self._watch.epoch

    def end(self, call):
        """Register the end of a started call."""
        if self._running_suspect == call.attempt:
            self._running_suspect = None

    def record_crash(self, call, epoch) -> Facts:
        """Publish that the upstream crashed during `call`; return the message."""
        incarnation = self._gate.incarnation
        if self._probe is None:
            self._probe = asyncio.ensure_future(self._probe_until_recovered())
        suspicion = self._watch.record_crash(epoch, call.fingerprint, incarnation)
        return self._records.suspect(suspicion)

    def record_answer(self, epoch):
        """Clear suspicions of a crash that an answer disproves.

        An answer by the same incarnation shows that only connections were lost.
        """
        self._records.clear(self._watch.record_answer(epoch, self._gate.incarnation))

    async def _probe_until_recovered(self):
        while not await self._is_answering():
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        self._probe = None
