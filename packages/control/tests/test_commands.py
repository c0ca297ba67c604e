"""Configuration commands of wharfctl, on documents in memory."""

import json

import pytest
from result import Err, Ok

from wharf_control.change_refused import Invalid, Superseded
from wharf_control.document_change import DocumentChange
from wharf_control.fleet_state import FleetState
from wharf_control.folder_commands import check
from wharf_platform import StoredObject
from wharf_platform.configuration import Document, Folder

CENTRE = '"data_centres": {"dc-1": {}}'
FAULTY_FILES = {
    "syntax": ('{\n"pools": {]}', "a.json: line 2: "),
    "not an object": ("[1]", "a.json: line 1: expected a JSON object"),
    "unknown key": ('{\n// pools\n"pool": {}}', "a.json: line 3: pool: "),
    "wrong type": (
        '{"pools": {\n"m": {"kind": "fast"}}}',
        "a.json: line 2: pools.m.kind: ",
    ),
    "bad name": ('{"pools": {\n\n"a b": {}}}', "a.json: line 3: pools.a b: "),
    "twice": (
        '{"pools": {"m": {}, /* again */\n"m": {}}}',
        "a.json: line 2: pools.m: duplicate key in its object",
    ),
    "pool": (
        '{"pipelines": {"p": {"stages": [\n{"name": "s",\n"pool": "none"}]}}}',
        "a.json: line 3: pipelines.p.stages.0.pool: unknown pool 'none'",
    ),
    "data centre": (
        '{"pools": {"m": {}}, "upstreams": {"u": {"pool": "m",\n'
        '"data_centre": "dc-9", "address": "127.0.0.1:1"}}}',
        "a.json: line 2: upstreams.u.data_centre: unknown data centre 'dc-9'",
    ),
}


@pytest.mark.parametrize(
    ("text", "message"), FAULTY_FILES.values(), ids=FAULTY_FILES.keys()
)
def test_check_names_file_line_and_key(tmp_path, capsys, text, message):
    (tmp_path / "a.json").write_text(text)
    assert check(tmp_path) == 2
    assert capsys.readouterr().err.startswith(message)


def test_check_reports_faults_as_json(tmp_path, capsys):
    (tmp_path / "a.json").write_text('{"pools": 3}')
    assert check(tmp_path, json=True) == 2
    report = json.loads(capsys.readouterr().out)
    assert (report["outcome"], report["exit_code"]) == ("faulty", 2)
    assert report["faults"][0]["file"] == "a.json"


def test_check_merges_files_in_the_order_of_their_names(tmp_path, capsys):
    (tmp_path / "10-a.json").write_text('{"pools": {"m": {"kind": "fast"}}}')
    (tmp_path / "20-b.json").write_text('{"pools": {"m": {"kind": "service"}}}')
    assert check(tmp_path) == 0


@pytest.fixture
def stored():
    def store(document):
        return StoredObject("configuration/current", 1, document.to_json())

    return store


def folder_change(**options):
    return DocumentChange("op-1", lambda document: {"folder": Folder()}, **options)


def test_exclusive_change_is_refused_after_another_writer(stored):
    change = folder_change(is_exclusive=True)
    assert change.apply(stored(Document(revision=4))).is_ok()
    assert change.apply(stored(Document(revision=5))) == Err(Superseded(5))


def test_expected_revision_must_be_the_stored_one(stored):
    change = folder_change(is_exclusive=True, base=3)
    assert change.apply(stored(Document(revision=4))) == Err(Superseded(4))


def test_shared_change_is_applied_to_the_latest_document(stored):
    change = folder_change()
    change.apply(stored(Document(revision=4)))
    changed = change.apply(stored(Document(revision=5))).unwrap()
    assert Document.from_json(changed).revision == 6


def test_change_is_recognised_after_a_later_write(stored):
    change = folder_change()
    written = Document.from_json(change.apply(stored(Document(revision=4))).unwrap())
    assert change.is_applied(stored(written.successor("op-2")))
    assert not change.is_applied(stored(Document(revision=4)))


def test_document_too_large_for_the_platform_is_refused(stored):
    pools = {f"pool-{number}-{'x' * 80}": {} for number in range(12_000)}
    change = DocumentChange("op-1", lambda document: {"folder": {"pools": pools}})
    assert isinstance(change.apply(stored(Document(revision=1))).err(), Invalid)


class _FakeProcessClient:
    """Return dumps from a dictionary; other addresses are unreachable."""

    def __init__(self, dump_by_address):
        self.dump_by_address = dump_by_address

    async def dump(self, address):
        dump = self.dump_by_address.get(address)
        return Ok(dump) if dump else Err("refused")


async def test_fleet_state_lists_processes_behind_a_revision():
    upstream = {"pool": "m", "data_centre": "d"}
    folder = Folder.model_validate(
        {
            "data_centres": {"d": {}},
            "pools": {"m": {}},
            "entries": {
                "e-1": {"operators": "127.0.0.1:1"},
                "e-2": {"operators": "127.0.0.1:2"},
            },
            "upstreams": {
                name: upstream | {"address": f"127.0.0.1:{number}"}
                for number, name in enumerate(("u-1", "u-2", "u-3"), 3)
            },
        }
    )
    links = [
        {"upstream": "u-1", "open": True, "revision": 7},
        {"upstream": "u-2", "open": True, "revision": 6},
        {"upstream": "u-3", "open": False, "revision": 7},
    ]
    processes = _FakeProcessClient({"127.0.0.1:1": {"revision": 7, "links": links}})
    fleet = await FleetState.query(processes, folder)
    assert [state.name for state in fleet.behind(7)] == ["e-2", "u-2", "u-3"]
