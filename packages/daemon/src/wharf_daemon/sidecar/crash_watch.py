"""The sidecar's part against requests that crash upstreams."""

import asyncio

from result import Err, Ok, Result

from wharf_coordination import Code, CrashTracker, Refusal, Verdict
from wharf_daemon.crash_ledger import CrashLedger
from wharf_wire import Facts

__all__ = ["CrashWatch"]

PROBE_SECONDS = 0.1


class CrashWatch:
    """Admit one suspect at a time and tell what was in flight at a death.

    The sidecar sees the calls of all entries, so that two suspects never meet
    on its upstream, whatever the entries know. After a crash it refuses all calls
    until `is_answering` finds the upstream back: a call that meets a dead upstream
    must not count as one that killed it.
    """

    def __init__(self, facts, gate, run_name, is_answering):
        self._ledger = CrashLedger(facts)
        self._gate = gate
        self._watch = CrashTracker(run_name)
        self._suspect = None
        self._is_answering = is_answering
        self._probe = None

    def close(self):
        """Stop to look for the upstream."""
        if self._probe is not None:
            self._probe.cancel()

    def admit(self, call) -> Result[None, Refusal]:
        """Refuse a condemned call, and a suspect while another one runs."""
        if self._probe is not None:
            return Err(Refusal.not_run(Code.UPSTREAM_FAILED, "upstream is down"))
        match self._ledger.verdict(call.fingerprint):
            case Verdict.CONDEMNED:
                return Err(Refusal.not_run(Code.REQUEST_CONDEMNED, call.fingerprint))
            case Verdict.SUSPECT if self._suspect is not None:
                return Err(Refusal.not_run(Code.SUSPECT_WAITS, self._suspect))
        return Ok(None)

    def begin(self, call):
        """Count an admitted call as started; return the epoch it belongs to."""
        if self._ledger.verdict(call.fingerprint) is Verdict.SUSPECT:
            self._suspect = call.attempt
        return self._watch.epoch

    def end(self, call):
        """Count a started call as ended."""
        if self._suspect == call.attempt:
            self._suspect = None

    def crash(self, call, epoch) -> Facts:
        """State that the upstream died on `call`; return the fact's message."""
        incarnation = self._gate.incarnation
        if self._probe is None:
            self._probe = asyncio.ensure_future(self._until_back())
        suspicion = self._watch.record_crash(epoch, call.fingerprint, incarnation)
        return self._ledger.suspect(suspicion)

    def answer(self, epoch):
        """Clear the calls of a death that an answer shows never happened."""
        self._ledger.clear(self._watch.record_answer(epoch, self._gate.incarnation))

    async def _until_back(self):
        while not await self._is_answering():
            await asyncio.sleep(PROBE_SECONDS)
        self._probe = None
