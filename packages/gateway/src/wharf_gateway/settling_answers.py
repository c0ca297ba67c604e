"""Whole answers that their upstreams may not survive."""

from collections import deque
from dataclasses import dataclass, field

from wharf_coordination.quarantine import CrashSuspect

__all__ = ["SETTLE_SECONDS", "SettlingAnswers"]

# An upstream that crashes so soon after an answer may have crashed because of it.
SETTLE_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class _Answer:
    at: float
    process: str
    suspect: CrashSuspect


@dataclass(slots=True)
class SettlingAnswers:
    """Hold whole answers until their upstreams have survived them.

    >>> answers = SettlingAnswers()
    >>> answers.add("upstream-1", CrashSuspect("r1", ("a",)), 1.0)
    >>> list(answers.settled(1.1)), list(answers.settled(1.25))
    ([], [(1.0, CrashSuspect(fingerprint='r1', features=('a',), began=True, \
served=False))])
    """

    _answers: deque[_Answer] = field(default_factory=deque)

    def add(self, process, suspect, now):
        """Add an answer that a process of an upstream has just ended."""
        self._answers.append(_Answer(now, process, suspect))

    def settled(self, now):
        """Remove and yield the time and the request of each answer that is survived."""
        while self._answers and now - self._answers[0].at >= SETTLE_SECONDS:
            answer = self._answers.popleft()
            yield answer.at, answer.suspect

    def take(self, process, crashed_at) -> list[CrashSuspect]:
        """Remove and return the requests that a process answered before its crash."""
        taken, kept = [], deque()
        for answer in self._answers:
            is_late = answer.at >= crashed_at - SETTLE_SECONDS
            is_taken = is_late and answer.process == process
            (taken if is_taken else kept).append(answer)
        self._answers = kept
        return [answer.suspect for answer in taken]
