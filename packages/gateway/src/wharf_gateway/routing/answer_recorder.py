"""Records what upstreams say of themselves in their answers."""

import structlog
from result import Err, Ok

from wharf_gateway.routing.retry_after import quiet_seconds

__all__ = ["AnswerRecorder"]

log = structlog.get_logger(__name__)

FULL = 503
MISDIRECTED_REQUEST = 421
MAX_SHOWN = 40  # characters of a value that can't be read


class AnswerRecorder:
    """Record in the state of upstreams that they leave or want no requests.

    The state is the one that the request was sent to, so that the answer of an earlier
    incarnation says nothing of the next. `rng` spreads the ends of quiet periods.
    """

    def __init__(self, fleet, dialect, rng):
        self._fleet = fleet
        self._dialect = dialect
        self._rng = rng

    def state_of(self, upstream):
        """Return the state of this incarnation, or None if it is gone."""
        state = self._fleet.state_by_id.get(upstream.id)
        is_same = state is not None and (
            state.upstream.started_ms == upstream.started_ms
        )
        return state if is_same else None

    def state_at(self, address):
        """Return the state of the upstream at an address, the latest to start."""
        return max(
            self._fleet.states_at(address),
            key=lambda state: state.upstream.started_ms,
            default=None,
        )

    def record(self, state, status, reply, by, now):
        """Record what an answer said; `by` names the request that it answers."""
        if not reply.has_self_report:
            return
        if status == MISDIRECTED_REQUEST:
            # Another upstream has the address, and speaks for itself.
            for other in self._fleet.states_at(state.upstream.address):
                if other is not state:
                    self._record_leaving(other, reply.leaving, by, now)
            return
        self._record_leaving(state, reply.leaving, by, now)
        if status == FULL:
            self._record_quiet(state, reply.retry_after, by, now)

    def record_late(self, state, head, now):
        """Record what an answer said that nobody waits for any more."""
        reply = self._dialect.read_response(head)
        self.record(state, head.status, reply, "late answer", now)

    def _record_leaving(self, state, text, by, now):
        if text is None:
            return
        items = [item.strip() for item in text.split(",")]
        if "1" not in items:
            if any(item not in ("", "0") for item in items):
                self._log_unreadable(state, f"no flag: {text[:MAX_SHOWN]!r}", by)
            return
        if state.report.record_leaving(by, now):
            upstream = state.upstream
            log.info(
                "upstream_leaving", id=upstream.id, service=upstream.service, by=by
            )

    def _record_quiet(self, state, text, by, now):
        if text is None:
            return
        match quiet_seconds(text):
            case Err(fault):
                self._log_unreadable(state, fault, by)
            case Ok(seconds):
                spread = self._rng.random()
                if state.report.record_quiet(seconds, spread, by, now):
                    log.info(
                        "upstream_quiet",
                        id=state.upstream.id,
                        service=state.upstream.service,
                        seconds=seconds,
                        by=by,
                    )

    @staticmethod
    def _log_unreadable(state, fault, by):
        """Log a value that can't be read, once for each incarnation."""
        if not state.report.has_unreadable:
            state.report.has_unreadable = True
            log.warning(
                "upstream_word_unreadable", id=state.upstream.id, detail=fault, by=by
            )
