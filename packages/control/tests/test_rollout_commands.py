"""Commands that start, stop and show rollouts."""

import json

import pytest

from wharf_control import rollout_commands
from wharf_control.change_refused import Invalid
from wharf_control.exit_code import ExitCode
from wharf_control.outcome import Outcome
from wharf_control.rollout_start import RolloutStart
from wharf_coordination.rollout import RolloutOutcome, RouteEvidence
from wharf_platform import StoredObject
from wharf_platform.configuration import Document, Folder

PLATFORM = "http://127.0.0.1:1"


@pytest.fixture
def document():
    upstream = {"pool": "model", "data_centre": "dc-1", "address": "127.0.0.1:1"}
    newer = upstream | {"address": "127.0.0.1:2", "version": "2"}
    folder = {
        "data_centres": {"dc-1": {}},
        "pools": {"model": {}},
        "upstreams": {"model-1": upstream, "model-2": newer},
    }
    return Document(revision=1, folder=Folder.model_validate(folder))


def start(document, pool="model", old="1", new="2", deadline=60.0):
    request = RolloutStart("r1", pool, old, new, deadline)
    return request.fields(document, wall_now=1000.0)


def test_start_adds_a_record(document):
    rollout = start(document)["rollouts"]["model"]
    assert (rollout.old_version, rollout.new_version) == ("1", "2")
    assert (rollout.duration, rollout.started_at) == (60.0, 1000.0)
    assert rollout.is_running


@pytest.mark.parametrize(
    ("changes", "place"),
    [
        ({"pool": "none"}, "pool"),
        ({"old": "0"}, "from"),
        ({"new": "1"}, "to"),
        ({"new": "3"}, "to"),
        ({"deadline": 1.0}, "deadline"),
        ({"deadline": float("nan")}, "deadline"),
        ({"deadline": 1e9}, "deadline"),
    ],
)
def test_start_names_the_invalid_argument(document, changes, place):
    refused = start(document, **changes)
    assert isinstance(refused, Invalid)
    assert refused.place == place


def test_start_is_refused_while_a_rollout_runs(document):
    running = document.successor("op", **start(document))
    assert start(running).place == "pool"
    rollout = running.rollouts["model"].take_back("errors", (), 0).unwrap()
    ended = running.successor("op", rollouts={"model": rollout})
    assert "rollouts" in start(ended)


@pytest.fixture
def published(document, monkeypatch):
    """Run commands on a document in memory; return the fields that they change."""
    changed = []

    def run(platform, wait, fields):
        changed.append(fields(document.successor("op", **start(document))))
        return Outcome(ExitCode.OK, ("accepted",))

    monkeypatch.setattr(rollout_commands.Publisher, "run", run)
    return changed


def test_stop_rolls_back(published):
    assert rollout_commands.ROLLOUT_COMMANDS["stop"]("model", platform=PLATFORM) == 0
    rollout = published[0]["rollouts"]["model"]
    assert rollout.outcome is RolloutOutcome.TAKEN_BACK
    assert rollout.reason == "stopped by an operator"


def test_stop_without_a_rollout_is_refused(published):
    rollout_commands.ROLLOUT_COMMANDS["stop"]("none", platform=PLATFORM)
    assert published[0].place == "rollout"


def test_status_shows_the_outcome_with_its_evidence(document, monkeypatch, capsys):
    evidence = RouteEvidence("ask/generate", 90, 1, 0.1, 10, 9, 0.2)
    rollout = start(document)["rollouts"]["model"]
    rollout = rollout.take_back("errors", (evidence,), 3).unwrap()
    updated = document.successor("op", rollouts={"model": rollout})

    async def get(client, key):
        return rollout_commands.Ok(StoredObject(key, 1, updated.to_json()))

    monkeypatch.setattr(rollout_commands.ObjectClient, "get", get)
    status = rollout_commands.ROLLOUT_COMMANDS["status"]
    assert status("model", platform=PLATFORM) == 0
    shown = capsys.readouterr().out
    assert "taken back" in shown
    assert "errors" in shown
    assert "9 of 10 failed, median 200.0 ms" in shown
    assert status("model", platform=PLATFORM, json=True) == 0
    report = json.loads(capsys.readouterr().out)["rollouts"]["model"]
    assert (report["outcome"], report["evidence"][0]["new_failures"]) == (
        "taken back",
        9,
    )
    assert status("none", platform=PLATFORM) == ExitCode.FAULTY
