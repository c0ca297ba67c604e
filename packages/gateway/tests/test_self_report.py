"""What upstreams say of themselves: that they leave, or want no requests for a time."""

from random import Random

import pytest
from structlog.testing import capture_logs

from wharf_adapter import Dialect
from wharf_gateway.fleet import Fleet
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.response_head import ResponseHead
from wharf_gateway.model.response_details import ResponseDetails
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.routing import self_reports
from wharf_gateway.routing.answer_recorder import AnswerRecorder
from wharf_gateway.routing.retry_after import MAX_QUIET_SECONDS, quiet_seconds
from wharf_gateway.routing.self_report import LAST_RESORT_SECONDS, SelfReport
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.stored_object import StoredObject


@pytest.fixture
def fleet():
    fleet = Fleet(Dialect(), StoreEras())
    fleet.eras.record(1, 0.0)
    fleet.replace_upstreams([_entry("u1"), _entry("u2")], 1.0)
    return fleet


@pytest.fixture
def recorder(fleet):
    return AnswerRecorder(fleet, Dialect(), Random(1))


def _entry(name, sequence=1, state="ready", born=1000, gone=False, address=None):
    spec = {
        "service": "s",
        "address": address or f"10.0.0.{name[1:]}:80",
        "zone": "dc",
        "version": "v1",
        "slots": 4,
        "state": state,
        "coldLeftMs": 0,
        "seqNo": sequence,
        "born": born,
    }
    return StoredObject(name, 1, None if gone else spec, is_deleted=gone)


def _reply(leaving=None, retry_after=None):
    return ResponseDetails(
        None, False, False, None, leaving=leaving, retry_after=retry_after
    )


def _names(fleet):
    return sorted(state.upstream.id for state in fleet.states("s"))


# Leaving.


@pytest.mark.parametrize("status", [200, 429, 500, 503])
def test_upstream_that_says_it_leaves_is_not_used(fleet, recorder, status):
    state = fleet.state_by_id["u1"]
    recorder.record(state, status, _reply(leaving="1"), "answer to r1", 2.0)

    assert _names(fleet) == ["u2"]
    dump = fleet.dump(5.0)["u1"]
    assert dump["state"] == "leaving"
    assert dump["word"] == {
        "says": "leaving",
        "seconds": 3.0,
        "by": "answer to r1",
    }


@pytest.mark.parametrize(
    "entries",
    [
        pytest.param([_entry("u1", 9)], id="a later entry"),
        pytest.param([_entry("u1", 9, "draining"), _entry("u1", 10)], id="ready again"),
        pytest.param([_entry("u1", gone=True), _entry("u1", 9)], id="written again"),
    ],
)
def test_change_in_the_store_does_not_undo_its_own_word(fleet, recorder, entries):
    recorder.record(fleet.state_by_id["u1"], 200, _reply("1"), "answer", 2.0)

    for entry in entries:
        fleet.update_upstreams([entry], 3.0)

    assert "u1" in fleet.state_by_id
    assert _names(fleet) == ["u2"]


def test_listing_does_not_undo_its_own_word(fleet, recorder):
    recorder.record(fleet.state_by_id["u1"], 200, _reply("1"), "answer", 2.0)

    fleet.replace_upstreams([_entry("u2")], 30.0)
    fleet.replace_upstreams([_entry("u1", 9), _entry("u2")], 31.0)

    assert _names(fleet) == ["u2"]


def test_restoration_does_not_undo_its_own_word(fleet, recorder):
    recorder.record(fleet.state_by_id["u1"], 200, _reply("1"), "answer", 2.0)

    fleet.eras.record(2, 20.0)
    fleet.replace_upstreams([_entry("u1"), _entry("u2")], 20.0)
    fleet.remove_expired(100.0)

    assert _names(fleet) == ["u2"]


def test_words_are_logged_once(fleet, recorder):
    state = fleet.state_by_id["u1"]
    with capture_logs() as lines:
        for _ in range(3):
            recorder.record(state, 503, _reply("1", "4"), "answer to r1", 2.0)

    assert lines == [
        {
            "event": "upstream_leaving",
            "log_level": "info",
            "id": "u1",
            "service": "s",
            "by": "answer to r1",
        },
        {
            "event": "upstream_quiet",
            "log_level": "info",
            "id": "u1",
            "service": "s",
            "seconds": 4.0,
            "by": "answer to r1",
        },
    ]


def test_new_incarnation_at_the_same_id_and_address_begins_clean(fleet, recorder):
    state = fleet.state_by_id["u1"]
    recorder.record(state, 503, _reply("1", "200"), "answer", 2.0)

    fleet.update_upstreams([_entry("u1", born=2000)], 3.0)

    assert _names(fleet) == ["u1", "u2"]
    assert fleet.state_by_id["u1"].limit_wait(3.0) == 0.0


def test_late_answer_of_an_earlier_incarnation_says_nothing_of_the_next(
    fleet, recorder
):
    before = fleet.state_by_id["u1"]
    fleet.update_upstreams([_entry("u1", born=2000)], 3.0)

    recorder.record(before, 503, _reply("1", "200"), "answer", 4.0)

    assert _names(fleet) == ["u1", "u2"]
    assert fleet.state_by_id["u1"].limit_wait(4.0) == 0.0


def test_late_answer_counts_if_the_entry_came_back_meanwhile(fleet, recorder):
    before = fleet.state_by_id["u1"]
    fleet.update_upstreams([_entry("u1", gone=True)], 3.0)
    fleet.update_upstreams([_entry("u1", 9)], 4.0)

    recorder.record(before, 200, _reply("1"), "answer", 5.0)

    assert _names(fleet) == ["u2"]


def test_misdirected_request_says_nothing_of_the_upstream_that_was_meant(
    fleet, recorder
):
    fleet.update_upstreams([_entry("u3", address="10.0.0.1:80")], 2.0)
    recorder.record(fleet.state_by_id["u1"], 421, _reply("1"), "answer", 3.0)

    assert _names(fleet) == ["u1", "u2"]


def test_leaving_upstreams_are_the_last_resort_for_a_time(fleet, recorder):
    recorder.record(fleet.state_by_id["u1"], 200, _reply("1"), "answer", 2.0)
    assert [s.upstream.id for s in fleet.states_or_leaving("s", 2.5)] == ["u2"]
    recorder.record(fleet.state_by_id["u2"], 200, _reply("1"), "answer", 2.5)

    ids = [s.upstream.id for s in fleet.states_or_leaving("s", 2.9)]
    assert ids == ["u1", "u2"]
    ids = [s.upstream.id for s in fleet.states_or_leaving("s", 2.1 + 1.0)]
    assert ids == ["u2"]
    assert fleet.states_or_leaving("s", 2.5 + LAST_RESORT_SECONDS) == []


@pytest.mark.parametrize(
    ("text", "leaves"),
    [("1", True), (" 1 ", True), ("1,1", True), ("0,1", True), ("0", False)]
    + [("", False), ("yes", False), ("1.0", False), ("x" * 5000, False)],
)
def test_values_of_leaving(fleet, recorder, text, leaves):
    recorder.record(fleet.state_by_id["u1"], 200, _reply(text), "answer", 2.0)

    assert fleet.state_by_id["u1"].report.is_leaving == leaves


def test_reports_of_removed_upstreams_are_bounded(fleet, monkeypatch):
    monkeypatch.setattr(self_reports, "MAX_REPORTS", 2)
    reports = self_reports.SelfReports()
    kept = [SelfReport() for _ in range(3)]
    upstreams = [
        Upstream(f"u{n}", "s", "a:1", "dc", "v1", 4, False, 1) for n in range(3)
    ]
    for upstream, report in zip(upstreams, kept, strict=True):
        reports.keep(upstream, report)

    assert reports.take(upstreams[0]) is not kept[0]
    assert reports.take(upstreams[2]) is kept[2]


# Quiet.


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2", 2.0), ("0.25", 0.25), (".5", 0.5), ("1.", 1.0), ("+3", 3.0)]
    + [("0", 0.0), ("-5", 0.0), ("2, 5", 5.0), ("soon, 5", 5.0), (" 2 ", 2.0)]
    + [("86400", MAX_QUIET_SECONDS), ("9" * 5000, MAX_QUIET_SECONDS)],
)
def test_seconds_of_a_quiet_period(text, seconds):
    assert quiet_seconds(text).unwrap() == seconds


@pytest.mark.parametrize(
    "text",
    ["", "soon", "nan", "inf", "1e3", "1_000", "0x10", "٣", "--1", "1 2"]
    + ["Sun, 06 Nov 1994 08:49:37 GMT"],
)
def test_unreadable_time_begins_no_quiet_period(fleet, recorder, text):
    state = fleet.state_by_id["u1"]
    with capture_logs() as lines:
        for _ in range(3):
            recorder.record(state, 503, _reply(retry_after=text), "answer", 2.0)

    assert quiet_seconds(text).is_err()
    assert state.limit_wait(2.0) == 0.0
    assert [line["event"] for line in lines] == ["upstream_word_unreadable"]


@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_retry_after_of_other_answers_begins_no_quiet_period(fleet, recorder, status):
    state = fleet.state_by_id["u1"]
    recorder.record(state, status, _reply(retry_after="5"), "answer", 2.0)

    assert not state.report.is_quiet(2.0)


def test_quiet_upstream_is_shown_with_the_answer_that_said_so(fleet, recorder):
    state = fleet.state_by_id["u1"]
    recorder.record(state, 503, _reply(retry_after="4"), "answer to r1", 2.0)

    dump = fleet.dump(3.0)["u1"]
    assert dump["state"] == "quiet"
    assert dump["word"]["by"] == "answer to r1"
    assert dump["word"]["seconds"] == 1.0
    assert 3.0 <= dump["word"]["seconds_left"] <= 4.0
    assert fleet.counts(3.0)[("quiet",)] == 1


@pytest.mark.parametrize("spread", [0.0, 0.5, 1.0])
def test_quiet_period_never_ends_before_the_time_that_was_asked_for(spread):
    report = SelfReport()
    report.record_quiet(8.0, spread, "answer", 10.0)

    assert report.is_quiet(17.999)
    assert report.wait(10.0) >= 8.0
    assert report.wait(19.0) == 0.0


def test_draining_upstream_is_shown_with_the_time_of_its_entry(fleet, recorder):
    fleet.update_upstreams([_entry("u1", 2, "draining")], 4.0)
    fleet.update_upstreams([_entry("u1", 3, "draining")], 5.0)
    dump = fleet.dump(6.0)["u1"]
    assert dump["state"] == "draining"
    word = {"says": "draining", "seconds": 2.0, "by": "entry in the store"}
    assert dump["word"] == word

    recorder.record(fleet.state_by_id["u1"], 503, _reply("1", "9"), "answer", 6.0)
    assert fleet.dump(6.0)["u1"]["word"]["says"] == "leaving"


def test_later_answer_lengthens_but_never_shortens_a_quiet_period():
    report = SelfReport()
    report.record_quiet(4.0, 0.0, "answer", 10.0)
    report.record_quiet(1.0, 0.0, "answer", 11.0)
    assert report.quiet_until == 14.0

    report.record_quiet(4.0, 0.0, "answer", 12.0)
    assert report.quiet_until == 16.0


def test_requests_return_one_by_one_after_a_quiet_period():
    """All requests that had waited would have come at its end at once."""
    report = SelfReport()
    report.record_quiet(2.0, 0.0, "answer", 10.0)

    waits = [report.reserve(10.0) for _ in range(8)]

    assert waits[0] == 2.0
    gaps = [later - earlier for earlier, later in zip(waits, waits[1:], strict=False)]
    assert gaps[0] == pytest.approx(0.2)
    assert gaps == sorted(gaps, reverse=True)
    assert report.wait(12.0) > 0
    assert report.reserve(13.0) == report.reserve(13.0) == 0.0


def test_gateways_return_at_different_times():
    rng = Random(3)
    ends = set()
    for _ in range(60):
        report = SelfReport()
        report.record_quiet(4.0, rng.random(), "answer", 10.0)
        ends.add(round(report.quiet_until, 2))

    assert min(ends) >= 14.0
    assert max(ends) <= 15.0
    assert len(ends) > 30


# The platform's headers.


def test_dialect_reads_what_an_upstream_says_of_itself():
    fields = (("server-leaving", "1"), ("Retry-After", "2"), ("retry-after", "3"))
    details = Dialect().read_response(ResponseHead(503, Headers(fields)))

    assert (details.leaving, details.retry_after) == ("1", "2,3")


def test_neither_header_of_a_caller_reaches_an_upstream():
    forged = Headers((("Server-Leaving", "1"), ("RETRY-AFTER", "9"), ("Own", "x")))
    sent = Dialect().upstream_fields(forged, "i-1", 1.0, None, False, None, None)

    assert sent.get("Server-Leaving") is None
    assert sent.get("Retry-After") is None
    assert sent.get("Own") == "x"


def test_caller_does_not_see_that_an_upstream_leaves():
    fields = (("Server-Leaving", "1"), ("Retry-After", "2"), ("Connection", "close"))

    assert Dialect().caller_fields(Headers(fields)).fields == (("Retry-After", "2"),)
