"""Requests, changes, silences and stops drawn from seeds, through the real daemons.

For a long search, set ENTRY_SEARCH_SEEDS to FIRST-LAST.
"""

import os

import pytest

from wharf_coordination import Refusal
from wharf_daemon.entry import entry
from wharf_daemon.entry.admission import Admission
from wharf_daemon.entry.running_requests import RunningRequests
from wharf_standins.entry_search import SearchRun
from wharf_standins.seed_range import seed_range

SEEDS = seed_range(os.environ.get("ENTRY_SEARCH_SEEDS", "1-24"))
FEW_SEEDS = 40
MIN_ANSWERED = 10


# Guards against a whole request that gets neither an answer nor a true refusal by its
# deadline beside changes of the configuration, silences and stops.
@pytest.mark.parametrize("seed", SEEDS)
def test_every_whole_request_is_answered_or_refused(seed):
    run = SearchRun(seed)
    assert run.run() == [], run.events
    assert run.answered >= MIN_ANSWERED


def is_found(text):
    """Return whether a few seeds break a promise whose description has `text`."""
    return any(
        text in broken
        for seed in range(1, FEW_SEEDS + 1)
        for broken in SearchRun(seed).run()
    )


def test_requests_that_the_stop_leaves_behind_are_found(monkeypatch):
    def only_refuse_new_requests(self):
        self.is_ended = True

    monkeypatch.setattr(RunningRequests, "end", only_refuse_new_requests)
    monkeypatch.setattr(entry, "LAST_ANSWERS_SECONDS", 0.0)
    assert is_found("unanswered")


def test_requests_that_wait_past_their_deadline_are_found(monkeypatch):
    monkeypatch.setattr(Admission, "_expire", lambda self, pool: None)
    assert is_found("answered after")


def test_refusals_that_wrongly_say_not_run_are_found(monkeypatch):
    monkeypatch.setattr(Refusal, "unknown", Refusal.not_run)
    assert is_found("refused as not run, but it ran")
