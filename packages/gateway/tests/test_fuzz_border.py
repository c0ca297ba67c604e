"""Whatever bytes, messages and documents arrive are refused, never believed or raised.

`make fuzz` plays more examples with a seed of its own.
"""

import asyncio
import json

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from wharf_adapter import names
from wharf_adapter.dialect import Dialect
from wharf_gateway.crash_guard import CrashGuard
from wharf_gateway.http.answer_limits import AnswerLimits
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.http.response_head import ResponseHead
from wharf_gateway.http.upstream_connection import UpstreamConnection
from wharf_gateway.peers.codec import decode, encode
from wharf_gateway.peers.messages import (
    AnsweredNotice,
    CrashNotice,
    QuarantineNotice,
)
from wharf_gateway.quarantine_keeper import QuarantineKeeper
from wharf_gateway.store.stored_object import StoredObject
from wharf_gateway.telemetry.meter import Meter

LIMITS = AnswerLimits(
    head_bytes=300, fields=10, interim_heads=2, body_bytes=64, held_bytes=32
)
WHOLE = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok",
)
FOREIGN = (
    b"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nbad",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n",
    b"\r\n",
    b"\x00\xff",
)
cuts = st.lists(st.integers(1, 200), max_size=8)
texts = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=40)
values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


class Transport:
    """A transport that records whether it was closed or paused."""

    def __init__(self):
        self.is_closed = False
        self.is_paused = False

    def get_extra_info(self, name):
        return None

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_closed = True

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


def _pieces(data, sizes):
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


async def _receive(pieces, ends_by_reset):
    """Return the connection, and the status and body it gives, None if it fails."""
    connection, transport = UpstreamConnection(LIMITS), Transport()
    connection._transport = transport
    connection.send(b"", b"", "Id", "1")
    for piece in pieces:
        if piece and not transport.is_closed:
            connection.data_received(piece)
        assert connection._held_bytes <= LIMITS.held_bytes + 200
        assert transport.is_paused or connection._held_bytes <= LIMITS.held_bytes
    if not transport.is_closed and not ends_by_reset:
        connection.eof_received()
    error = ConnectionResetError() if ends_by_reset or transport.is_closed else None
    connection.connection_lost(error)
    try:
        async with asyncio.timeout(1.0):
            head = await connection.head()
            return connection, (head.status, await connection.body())
    except HttpCallError:
        return connection, None


def _run(coroutine):
    return asyncio.run(coroutine)


@given(st.sampled_from(WHOLE), st.lists(st.sampled_from(FOREIGN), max_size=3), cuts)
def test_foreign_messages_never_become_the_answer(answer, foreign, sizes):
    data = b"".join(foreign) + answer
    _, result = _run(_receive(_pieces(data, sizes), ends_by_reset=False))

    assert result in (None, (200, b"ok"))


@given(st.sampled_from(WHOLE), st.data(), cuts, st.booleans())
def test_answer_that_is_cut_off_is_not_whole(answer, data, sizes, by_reset):
    cut = answer[: data.draw(st.integers(0, len(answer) - 1))]
    _, result = _run(_receive(_pieces(cut, sizes), by_reset))

    ends_with_connection = answer == WHOLE[2] and not by_reset
    assert result is None or ends_with_connection


@given(st.sampled_from(WHOLE[:2]), st.binary(min_size=1, max_size=80), cuts)
def test_connection_with_bytes_after_the_answer_is_not_reused(answer, extra, sizes):
    connection, _ = _run(_receive(_pieces(answer + extra, sizes), ends_by_reset=False))

    assert not connection.is_reusable


@given(
    st.sampled_from(WHOLE),
    st.lists(st.tuples(st.integers(0, 120), st.binary(max_size=3)), max_size=5),
    cuts,
)
def test_mutated_answers_are_read_or_refused(answer, changes, sizes):
    for place, change in changes:
        answer = answer[:place] + change + answer[place + len(change) :]
    _, result = _run(_receive(_pieces(answer, sizes), ends_by_reset=False))

    assert result is None or len(result[1]) <= LIMITS.body_bytes


@given(st.binary(max_size=2000), cuts)
def test_any_bytes_are_read_or_refused(data, sizes):
    _run(_receive(_pieces(data, sizes), ends_by_reset=False))


fields = st.sampled_from(
    [value for name, value in vars(names).items() if name.isupper() and "/" not in name]
    + ["Authorization", "Keep-Alive", "Host"]
).filter(lambda value: isinstance(value, str))


@given(st.lists(st.tuples(fields, texts), max_size=8))
def test_any_header_fields_of_callers_and_upstreams_are_read(items):
    dialect, headers = Dialect(), Headers(tuple(items))

    dialect.read_request(headers)
    details = dialect.read_response(ResponseHead(200, headers))

    assert details.rate_limit is None or 0 <= details.rate_limit < float("inf")


@given(st.binary(max_size=200) | values.map(cbor2.dumps))
def test_any_frame_of_a_peer_is_read_or_refused(frame):
    decode(frame)


@given(values.map(json.dumps) | st.text(max_size=50))
def test_any_body_of_the_store_is_read_or_refused(text):
    dialect = Dialect()

    dialect.read_page(text.encode())
    dialect.read_changes(text.encode())
    dialect.read_pieces(text.encode(), 1)
    dialect.read_free_bytes(text.encode())


class Alone:
    """A gateway without peers."""

    is_candidate = True

    def is_repeater(self, now):
        return True

    def post_all(self, message):
        encode(message)

    def post(self, message):
        encode(message)


@pytest.fixture(scope="module")
def make_guard():
    def make():
        return CrashGuard("g", None, Alone(), lambda: 100.0, Meter())

    return make


numbers = st.floats(allow_nan=True, allow_infinity=True) | st.floats(-1e3, 1e3)
features = st.sampled_from(["a", "b"])


def _notice(kind, **contents):
    return st.fixed_dictionaries({"kind": st.just(kind)} | contents)


notices = st.one_of(
    _notice(
        "quarantine",
        items=st.tuples(
            st.fixed_dictionaries(
                {
                    "feature": features,
                    "crashes": st.integers(-5, 9),
                    "first_seconds_ago": numbers,
                    "seconds_left": numbers,
                    "seconds": numbers,
                }
            )
        ),
    ),
    _notice("answered", feature=features, seconds_ago=numbers),
    _notice("crash", upstream=texts, seconds_ago=numbers, suspects=st.just(())),
)


@given(st.lists(notices, max_size=6))
def test_any_numbers_of_a_peer_leave_quarantines_of_bounded_length(
    make_guard, received
):
    """Lengths and ends of centuries, or not a number, were taken from messages."""
    guard = make_guard()
    for notice in received:
        frame = decode(cbor2.dumps(notice))
        if frame.is_err():
            continue
        match frame.unwrap():
            case QuarantineNotice() as message:
                guard.handle_quarantine(message, Alone(), 100.0)
            case AnsweredNotice() as message:
                guard.handle_answered(message, 100.0)
            case CrashNotice() as message:
                guard.handle_crash(message, 100.0)

    for entry in guard.entries(100.0):
        assert entry.ends_at <= 100.0 + 600.0
        assert 0 < entry.seconds <= 600.0


@given(values)
def test_any_document_of_a_quarantine_is_read_or_refused(make_guard, spec):
    keeper = QuarantineKeeper("g", None, make_guard(), Alone(), lambda: 1e9)
    keeper.replace_documents([StoredObject("a", 1, spec)], 100.0)
