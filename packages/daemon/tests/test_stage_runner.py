"""Retries of one stage with given outcomes of the attempts."""

from dataclasses import dataclass, field

import pytest
from result import Err, Ok

from wharf_coordination import (
    Candidate,
    Code,
    Deadline,
    Priority,
    Ran,
    Refusal,
    RetryBudget,
)
from wharf_daemon.configuration_feed import ConfigurationFeed
from wharf_daemon.entry.policy import EntryPolicy
from wharf_daemon.entry.request import Request
from wharf_daemon.entry.stage_runner import StageRunner
from wharf_daemon.entry.stage_task import StageTask
from wharf_daemon.metrics import Metrics
from wharf_platform.configuration import Document, Folder, Stage

LOST = Refusal.unknown(Code.LINK_LOST)
FULL = Refusal.not_run(Code.UPSTREAM_FULL)
MAX_ANSWER = 1000


@dataclass
class Upstreams:
    """Fake links, admission and attempt runner that return `outcomes` in turn."""

    outcomes: list
    started: list = field(default_factory=list)
    released: list = field(default_factory=list)

    async def admit(self, task, tried):
        name = next(name for name in "abcdefghijkl" if name not in tried)
        return Ok(Candidate(name, "dc-1", "1", 0, 4, 0.1))

    def release(self, candidate, pool):
        self.released.append(candidate.upstream)

    def observe_full(self, candidate):
        assert len(self.released) < len(self.started)

    async def run(self, task, candidate, number, answer):
        self.started.append((candidate.upstream, answer.next_sequence))
        outcome = self.outcomes[number]
        if isinstance(outcome, bytes):
            answer.add(answer.next_sequence, [outcome])
            return answer.close(answer.next_sequence)
        if outcome is LOST:
            answer.add(answer.next_sequence, [b"part "])
        return Err(outcome)


@pytest.fixture
def budget():
    return RetryBudget()


@pytest.fixture
def run(budget):
    async def run_stage(outcomes, kind="engine", idempotent=True, streaming=False):
        feed = ConfigurationFeed(Metrics())
        folder = Folder.model_validate({"pools": {"model": {"kind": kind}}})
        feed.adopt(Document(revision=1, folder=folder).to_json(), "test")
        upstreams = Upstreams(outcomes)
        policy = EntryPolicy(chooser=None, retry_budget=budget)
        runner = StageRunner(upstreams, feed, upstreams, policy, upstreams, MAX_ANSWER)
        request = Request(
            id="r-1",
            pipeline="ask",
            customer="acme",
            priority=Priority.STANDARD,
            deadline=Deadline(1e9),
            key=None,
            streaming=streaming,
            body=b"1",
        )
        stage = Stage(name="answer", pool="model", idempotent=idempotent)
        on_chunk = upstreams.observe_full if streaming else None
        result = await runner.run(StageTask(request, stage, b"1", on_chunk))
        assert len(upstreams.released) == len(upstreams.started)
        return result, upstreams.started

    return run_stage


async def test_lost_answer_is_restarted_on_another_upstream(run):
    result, started = await run([LOST, b"whole"])
    assert result == Ok(b"whole")
    assert started == [("a", 0), ("b", 0)]


async def test_lost_stream_of_an_engine_is_resumed(run):
    result, started = await run([LOST, b"rest"], streaming=True)
    assert result == Ok(b"part rest")
    assert started == [("a", 0), ("b", 1)]


async def test_lost_stream_of_a_service_ends_with_an_error(run):
    result, started = await run([LOST, b"rest"], kind="service", streaming=True)
    assert result.unwrap_err().code is Code.LINK_LOST
    assert len(started) == 1


async def test_non_idempotent_stage_that_may_have_run_is_not_retried(run):
    result, started = await run([LOST, b"again"], idempotent=False)
    assert (result.unwrap_err().ran, len(started)) == (Ran.UNKNOWN, 1)


async def test_non_idempotent_stage_refused_as_not_run_is_retried(run):
    leaving = Refusal.not_run(Code.UPSTREAM_LEAVING)
    result, started = await run([leaving, b"done"], idempotent=False)
    assert result == Ok(b"done")
    assert [name for name, _ in started] == ["a", "b"]


async def test_full_upstream_uses_no_attempt(run, budget):
    before = budget.tokens
    result, started = await run([FULL] * 20 + [b"done"])
    assert result == Ok(b"done")
    assert {name for name, _ in started} == {"a"}
    assert budget.tokens >= before


async def test_exhausted_retry_budget_ends_the_retries(run, budget):
    budget.tokens = 0.0
    result, started = await run([LOST, b"again"])
    assert (result.unwrap_err().code, len(started)) == (Code.LINK_LOST, 1)
