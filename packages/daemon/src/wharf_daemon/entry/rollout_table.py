"""Rollouts in which this entry participates."""

import asyncio
import time

from wharf_coordination import Code, FactKind
from wharf_coordination.rollout import Participant, Route, Sample

__all__ = ["RolloutTable"]

# A lost link or a disconnected caller is no evidence about the version.
_UNRELATED_CODES = {Code.LINK_LOST, Code.CALLER_LEFT}
_FIRST_FAILURE_CODE = 3000
_LAST_FAILURE_CODE = 3999


class RolloutTable:
    """Hold the participant of each pool's rollout and pass it evidence."""

    def __init__(self, feed, facts):
        self.by_pool = {}
        self.revision = 0
        self._facts = facts
        feed.documents.subscribe(self._on_document)
        facts.new_facts.subscribe(self._on_new_facts)

    def running(self):
        """Return the participants of rollouts that have not ended."""
        return [
            participant
            for participant in self.by_pool.values()
            if participant.rollout.is_running
        ]

    def add_outcome(self, outcome):
        """Add an attempt's outcome to the evidence of its pool's rollout."""
        participant = self.by_pool.get(outcome.task.stage.pool)
        if participant is None or not _is_evidence(outcome.code):
            return
        task = outcome.task
        sample = Sample(
            route=Route(task.request.pipeline, task.stage.name),
            version=outcome.candidate.version,
            in_flight=outcome.candidate.in_flight,
            failed=outcome.code is not Code.OK,
            elapsed=outcome.elapsed,
            ended_at=outcome.ended_at,
            is_cold=outcome.candidate.is_cold,
        )
        participant.add(sample)

    def dump(self):
        """Return the rollouts as a dictionary for JSON."""
        now = self._now()
        return {
            pool: {
                "id": participant.rollout.id,
                "outcome": participant.rollout.outcome,
                "step": participant.rollout.step,
                "share": participant.share(now),
                "seconds_left": participant.view.deadline.left(now),
                "vetoed": participant.view.vetoed,
                "new_calls": participant.evidence.total_new,
            }
            for pool, participant in self.by_pool.items()
        }

    def _on_document(self, document):
        now = self._now()
        self.revision = document.revision
        for pool, rollout in document.rollouts.items():
            known = self.by_pool.get(pool)
            if known and known.rollout.id == rollout.id:
                known.update(rollout, now)
            else:
                self._join(pool, rollout, now)
        for pool in self.by_pool.keys() - document.rollouts.keys():
            del self.by_pool[pool]

    def _join(self, pool, rollout, now):
        participant = Participant.join(rollout, now, time.time())
        self.by_pool[pool] = participant
        veto = self._facts.find(FactKind.VETO, rollout.veto_subject)
        if veto:
            participant.veto(veto.reason)

    def _on_new_facts(self, message):
        reason_by_subject = {
            item.subject: item.reason
            for item in message.items
            if item.fact_kind is FactKind.VETO
        }
        for participant in self.by_pool.values():
            subject = participant.rollout.veto_subject
            if subject in reason_by_subject:
                participant.veto(reason_by_subject[subject])

    def _now(self):
        return asyncio.get_running_loop().time()


def _is_evidence(code):
    is_failure = _FIRST_FAILURE_CODE <= code <= _LAST_FAILURE_CODE
    return code is Code.OK or (is_failure and code not in _UNRELATED_CODES)
