"""Retries of one stage, with the attempts played by hand."""

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
    """Stand in for links, admission and attempts: give the outcomes in turn."""

    outcomes: list
    begun: list = field(default_factory=list)
    released: list = field(default_factory=list)

    async def admit(self, task, tried):
        name = next(name for name in "abcdefghijkl" if name not in tried)
        return Ok(Candidate(name, "dc-1", "1", 0, 4, 0.1))

    def release(self, candidate, pool):
        self.released.append(candidate.upstream)

    def observe_full(self, candidate):
        assert len(self.released) < len(self.begun)

    async def run(self, task, candidate, number, answer):
        self.begun.append((candidate.upstream, answer.next_sequence))
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
        assert len(upstreams.released) == len(upstreams.begun)
        return result, upstreams.begun

    return run_stage


async def test_lost_whole_answer_is_begun_anew_elsewhere(run):
    result, begun = await run([LOST, b"whole"])
    assert result == Ok(b"whole")
    assert begun == [("a", 0), ("b", 0)]


async def test_lost_stream_of_an_engine_is_resumed(run):
    result, begun = await run([LOST, b"rest"], streaming=True)
    assert result == Ok(b"part rest")
    assert begun == [("a", 0), ("b", 1)]


async def test_lost_stream_of_a_service_ends_with_an_error(run):
    result, begun = await run([LOST, b"rest"], kind="service", streaming=True)
    assert result.unwrap_err().code is Code.LINK_LOST
    assert len(begun) == 1


async def test_stage_that_may_have_run_and_may_not_repeat_is_not_retried(run):
    result, begun = await run([LOST, b"again"], idempotent=False)
    assert (result.unwrap_err().ran, len(begun)) == (Ran.UNKNOWN, 1)


async def test_refused_as_not_run_is_tried_elsewhere_though_it_may_not_repeat(run):
    leaving = Refusal.not_run(Code.UPSTREAM_LEAVING)
    result, begun = await run([leaving, b"done"], idempotent=False)
    assert result == Ok(b"done")
    assert [name for name, _ in begun] == ["a", "b"]


async def test_full_gate_uses_up_no_attempt(run, budget):
    before = budget.tokens
    result, begun = await run([FULL] * 20 + [b"done"])
    assert result == Ok(b"done")
    assert {name for name, _ in begun} == {"a"}
    assert budget.tokens >= before


async def test_spent_budget_ends_the_retries(run, budget):
    budget.tokens = 0.0
    result, begun = await run([LOST, b"again"])
    assert (result.unwrap_err().code, len(begun)) == (Code.LINK_LOST, 1)
