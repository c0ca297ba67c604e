"""Routing of calls between the versions of a rollout."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from wharf_coordination import Candidate
from wharf_coordination.rollout import Participant, Rollout
from wharf_daemon.entry.version_router import VersionRouter
from wharf_platform.configuration import Document, Folder


@dataclass
class Links:
    """Open upstreams by version."""

    by_version: dict = field(default_factory=dict)

    def candidates(self, document, pool, version, excluded):
        return [
            candidate
            for candidate in self.by_version.get(version, [])
            if candidate.upstream not in excluded
        ]


def candidate(in_flight=0):
    return Candidate("model-2", "dc-1", "2", in_flight, limit=2, service_time=0.1)


@pytest.fixture
def rollout():
    return Rollout("r1", "model", "1", "2", 100.0, started_at=0.0)


@pytest.fixture
def make_router(rollout):
    """Return a factory of routers with half of the calls on the new version."""

    def make(candidates, changed=rollout, declared="1"):
        for step in range(1, 4):
            changed = changed.advance(step, (), 1).unwrap_or(changed)
        participant = Participant.join(changed, 0.0, 0.0)
        folder = {"pools": {"model": {"version": declared}}}
        document = Document(revision=1, folder=Folder.model_validate(folder))
        rollouts = SimpleNamespace(by_pool={"model": participant})
        feed = SimpleNamespace(document=document)
        return VersionRouter(feed, rollouts, Links({"2": candidates}))

    return make


def count_new(router, now=1.0, excluded=frozenset()):
    stage = SimpleNamespace(pool="model")
    tasks = (
        SimpleNamespace(request=SimpleNamespace(id=str(number)), stage=stage)
        for number in range(200)
    )
    versions = [router.version_for(task, now, excluded) for task in tasks]
    return versions.count("2")


def test_calls_are_split_by_the_share(make_router):
    assert 70 < count_new(make_router([candidate()])) < 130


def test_old_version_is_used_when_no_new_upstream_is_available(make_router):
    assert count_new(make_router([])) == 0


def test_old_version_is_used_for_a_retry_after_all_new_upstreams(make_router):
    assert count_new(make_router([candidate()]), excluded={"model-2"}) == 0


def test_old_version_is_used_while_new_upstreams_are_full(make_router):
    assert count_new(make_router([candidate(in_flight=2)])) == 0


def test_finished_rollout_ignores_full_upstreams(make_router, rollout):
    finished = rollout.finish((), 1).unwrap()
    assert count_new(make_router([candidate(in_flight=2)], finished)) == 200


def test_old_version_is_used_from_the_deadline(make_router):
    assert count_new(make_router([candidate()]), now=100.0) == 0


def test_changed_declared_version_overrides_the_rollout(make_router):
    assert count_new(make_router([candidate()], declared="3")) == 0
