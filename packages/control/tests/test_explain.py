"""The explain command, on saved logs of several processes."""

import json

import pytest

from wharf_control.exit_code import ExitCode
from wharf_control.explain_command import explain


def _line(second, event, **fields):
    stamp = f"2026-08-02T12:00:{second:09.6f}Z"
    return json.dumps({**fields, "event": event, "level": "info", "timestamp": stamp})


REFUSED_AT_ENTRY = (
    _line(
        *(1.9, "not_prepared"),
        request="r1",
        pool="everywhere",
        preparer="edge-2",
        reason="no room in time",
    ),
    _line(2.0, "not_served", request="r1", status=503, code="upstream_full", sends=0),
)
REFUSED_AT_PREPARER = (
    _line(1.8, "preparation_refused", request="r1", delay=1.2, left=2.1, waiting=39),
    _line(1.8, "preparation_refused", request="r9", delay=1.2, left=2.1, waiting=39),
)
BROKEN_STREAM = (
    _line(1.0, "store_lost", kind="upstreams", detail="status 503"),
    _line(2.0, "upstream_gone", id="u7", reason="entry removed"),
    _line(2.1, "upstream_gone", id="u8", reason="entry removed"),
    _line(2.2, "retry", request="r2", upstream="u7", may_have_run=True),
    _line(2.3, "not_served", request="r2", status=502, tried=["u7"]),
)
UNSAFE = (
    _line(1.0, "retry", request="r3", upstream="u1", may_have_run=True),
    _line(1.002, "not_served", request="r3", status=502, code="answer_broken"),
)


@pytest.fixture
def write(tmp_path):
    def write(**lines_by_process):
        paths = []
        for name, lines in lines_by_process.items():
            path = tmp_path / f"{name}.log"
            path.write_text("\n".join(lines) + "\n")
            paths.append(path)
        return paths

    return write


def test_refusal_shows_the_event_of_the_preparer_with_its_details(write, capsys):
    code = explain("r1", *write(edge1=REFUSED_AT_ENTRY, edge2=REFUSED_AT_PREPARER))

    lines = capsys.readouterr().out.splitlines()
    assert code == ExitCode.OK
    assert [line.split()[1:3] for line in lines] == [
        ["edge2", "preparation_refused"],
        ["edge1", "not_prepared"],
        ["edge1", "not_served"],
    ]
    assert "delay=1.2 left=2.1 waiting=39" in lines[0]
    assert "sends=0" in lines[2]


def test_refusal_for_crashes_shows_them_whenever_they_were(write, capsys):
    at_other = (
        _line(1.0, "attempt_lost", request="r7", upstream="u1", features=["f1", "f2"]),
        _line(1.1, "attempt_lost", request="r8", upstream="u1", features=["f3"]),
        _line(1.2, "quarantine", feature="f1", crashes=2),
    )
    refused = (_line(55.0, "not_served", request="r9", status=503, feature="f1"),)

    explain("r9", *write(edge1=refused, edge2=at_other), around=1.0)

    out = capsys.readouterr().out
    assert "~quarantine feature=f1 crashes=2" in out
    assert "~attempt_lost" in out
    assert "f3" not in out


def test_context_shows_events_of_the_named_upstream_and_the_process(write, capsys):
    code = explain("r2", *write(edge1=BROKEN_STREAM), around=0.5)

    out = capsys.readouterr().out
    assert code == ExitCode.OK
    assert "~upstream_gone id=u7" in out
    assert "u8" not in out
    assert "store_lost" not in out

    explain("r2", *write(edge1=BROKEN_STREAM), around=2.0)
    assert "~store_lost kind=upstreams" in capsys.readouterr().out


def test_retry_shows_that_the_request_may_have_run(write, capsys):
    explain("r3", *write(edge1=UNSAFE), json=True)

    events = json.loads(capsys.readouterr().out)["events"]
    assert [event["event"] for event in events] == ["retry", "not_served"]
    assert events[0]["may_have_run"] is True
    assert events[1]["seconds"] == 0.002


def test_unreadable_lines_are_reported_and_the_others_used(write, capsys):
    paths = write(edge1=("{not json", *UNSAFE, '{"event": "x"}'))

    code = explain("r3", *paths)

    out = capsys.readouterr().out
    assert code == ExitCode.OK
    assert f"unreadable: {paths[0]}:1: Invalid JSON" in out
    assert f"unreadable: {paths[0]}:4: timestamp: Field required" in out


def test_unknown_request_is_an_error_with_the_number_of_lines_searched(write, capsys):
    assert explain("r8", *write(edge1=UNSAFE, edge2=BROKEN_STREAM)) == ExitCode.UNKNOWN
    assert "no request 'r8' in 7 lines of 2 logs" in capsys.readouterr().err


def test_missing_log_file_and_no_log_file_are_errors(write, tmp_path, capsys):
    assert explain("r1", tmp_path / "none.log") == ExitCode.UNAVAILABLE
    assert "none.log: No such file" in capsys.readouterr().err
    assert explain("r1") == ExitCode.FAULTY
