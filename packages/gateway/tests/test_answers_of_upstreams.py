"""No request reaches an upstream that says it leaves or wants none, by any way."""

import asyncio
import json
import re
from dataclasses import replace
from random import Random

import pytest
from structlog.testing import capture_logs

from wharf_adapter import Dialect
from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.crash_guard import CrashGuard
from wharf_gateway.fleet import Fleet
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.http.unsolicited import Unsolicited
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.engine import Engine
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.prompt_part import PromptPart
from wharf_gateway.model.request_details import RequestDetails
from wharf_gateway.model.rollout_order import RolloutOrder
from wharf_gateway.model.route import Route
from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.model.service import Service
from wharf_gateway.model.step import Step
from wharf_gateway.model.target import Target
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.peers.messages import ShareNotice
from wharf_gateway.request_context import RequestContext
from wharf_gateway.request_runner import RequestRunner
from wharf_gateway.rollouts.rollout_driver import RolloutDriver
from wharf_gateway.rollouts.rollout_manager import RolloutManager
from wharf_gateway.rollouts.rollout_progress import RolloutProgress
from wharf_gateway.routing.answer_recorder import AnswerRecorder
from wharf_gateway.routing.retry_budgets import RetryBudgets
from wharf_gateway.routing.upstream_limits import UpstreamLimits
from wharf_gateway.stages.batcher import Batcher
from wharf_gateway.stages.piece_client import PieceClient
from wharf_gateway.stages.pool import Pool
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparer import Preparer
from wharf_gateway.telemetry.meter import Meter

SIGNED = "Vanillawharf-Runner-Stamp: 1"
LEAVING = "Server-Leaving: 1"
NOT_RUN = "Vanillawharf-Not-Executed: 1"
CHUNKED = "Transfer-Encoding: chunked"
ID = "Vanillawharf-Attempt-Id"  # upstreams send the id of the request back
OK_BODY = b"ok"


def _with_id(fields):
    has_id = any(field.startswith(ID) for field in fields)
    return fields if has_id else (*fields, f"{ID}: r1")


def _answer(status, *fields, body=OK_BODY):
    lines = (f"HTTP/1.1 {status} X", *_with_id(fields), f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


def _stream(*parts, fields=()):
    lines = ("HTTP/1.1 200 OK", SIGNED, CHUNKED, *_with_id(fields))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return "\r\n".join((*lines, "", "")).encode() + chunks


SERVED = _answer(200, SIGNED)
SERVED_LEAVING = _answer(200, SIGNED, LEAVING)
SERVED_PIECE = _answer(200, body=b'{"entries":[{"handle":"h/1"}]}')


def _quiet(seconds, *fields):
    return _answer(503, NOT_RUN, f"Retry-After: {seconds}", *fields, body=b"")


class StandIn:
    """An upstream with scripted answers; `seen` has its requests' times and paths."""

    def __init__(self, *answers, then=SERVED, after_seconds=0.0):
        self.answers = list(answers)
        self.then = then
        self.after_seconds = after_seconds
        self.seen = []
        self.connections = 0

    async def handle(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                self.seen.append((_now(), head.split(b" ")[1].decode()))
                answer = self.answers.pop(0) if self.answers else self.then
                await asyncio.sleep(self.after_seconds)
                if answer is None:
                    await asyncio.sleep(60.0)
                is_broken = answer.endswith(b"CUT")
                writer.write(answer.removesuffix(b"CUT"))
                if is_broken:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Alone:
    """A gateway without peers."""

    is_candidate = True

    def is_repeater(self, now):
        return True

    def post_all(self, message):
        pass


class Caller:
    """A responder that records the response."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.headers = Headers()
        self.is_started = False

    def answer(self, status, headers, body=b""):
        self.status, self.headers, self.body = status, headers, body

    def begin(self, status, headers):
        self.status, self.headers, self.is_started = status, headers, True

    async def send(self, data):
        self.body += data

    def end(self):
        pass

    def abort(self):
        self.status = None


async def _until(holds):
    """Wait until something holds."""
    async with asyncio.timeout(5.0):
        while not holds():
            await asyncio.sleep(0.01)


def _now():
    return asyncio.get_running_loop().time()


class Entry:
    """A gateway's way of requests to upstreams, which are stand-ins."""

    def __init__(self, raw_server, shutdown, route_times):
        self._raw_server = raw_server
        self.fleet = Fleet(Dialect())
        self.pool, self.meter = ConnectionPool(), Meter()
        clock = asyncio.get_running_loop().time
        self.rollouts = RolloutManager(
            self.fleet, Dialect(), None, lambda *args: None, Alone(), clock
        )
        self.samples = []
        self.rollouts.record_attempt = lambda *sample: self.samples.append(sample)
        self.runner = RequestRunner(
            self.fleet,
            Dialect(),
            self.pool,
            None,
            self.rollouts,
            RetryBudgets(0.2, 50, lambda: 1),
            clock,
            Random(1),
            self.meter,
            CrashGuard("g", self.pool, Alone(), clock, self.meter),
            UpstreamLimits("g", self.fleet, Alone(), lambda: {}),
            shutdown,
            route_times,
        )
        self.service = Service("s", "/", 10, 0.0, 0.0)

    async def add(self, stand_in, version="v1"):
        """Start a stand-in; the one that is added first is the first choice."""
        address = await self._raw_server(stand_in.handle)
        name = f"u{len(self.fleet.state_by_id)}"
        state = self.fleet.add(
            Upstream(name, "s", address, "dc-1", version, 4, False, 1)
        )
        state.latency = 0.001 * 100 ** len(self.fleet.state_by_id)
        return state

    async def ask(
        self,
        kind="safe",
        *,
        seconds=2.0,
        attempts=2,
        prompt=(),
        resumable=False,
        fields=(),
    ):
        route = Route(
            *("r", "h", "/", RouteKind(kind), seconds, 1.0, 0),
            (Target("s"),),
            attempts,
            (),
            is_resumable=resumable,
        )
        self.fleet.configuration = FleetConfiguration(
            1, (route,), {"s": self.service}, {}, CallerLimits(), False
        )
        now = _now()
        inbound = InboundRequest("GET", "/", Headers(fields), now)
        details = RequestDetails("r1", prompt=prompt)
        context = RequestContext(
            *(inbound, route, details, None, False, now + 1.0), now + seconds
        )
        caller = Caller()
        await self.runner.run(context, caller)
        return caller


@pytest.fixture
async def entry(raw_server, shutdown, route_times):
    return Entry(raw_server, shutdown, route_times)


# Leaving: every answer can say so.


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(SERVED_LEAVING, id="served"),
        pytest.param(_answer(500, SIGNED, LEAVING), id="error"),
        pytest.param(_answer(404, SIGNED, LEAVING), id="not found"),
        pytest.param(_answer(200, LEAVING), id="unsigned"),
        pytest.param(_answer(503, NOT_RUN, LEAVING), id="full"),
        pytest.param(_answer(429, NOT_RUN, LEAVING), id="too many"),
        pytest.param(_answer(200, SIGNED, LEAVING) + b"CUT", id="closed"),
        pytest.param(
            _answer(200, SIGNED, LEAVING, body=b"long")[:-2] + b"CUT", id="broken off"
        ),
        pytest.param(
            _answer(200, SIGNED, "Vanillawharf-Attempt-Id: r0", LEAVING) + SERVED,
            id="answer to an earlier request",
        ),
        pytest.param(SERVED + SERVED_LEAVING, id="second answer"),
    ],
)
async def test_upstream_that_says_it_leaves_gets_no_further_request(entry, answer):
    leaving, other = StandIn(answer), StandIn()
    await entry.add(leaving)
    await entry.add(other)

    await entry.ask()
    await _until(lambda: entry.fleet.state_by_id["u0"].report.is_leaving)
    for _ in range(5):
        assert (await entry.ask()).status == 200

    assert len(leaving.seen) == 1


async def test_answer_on_an_idle_connection_says_that_its_upstream_leaves(entry):
    class Talkative(StandIn):
        async def handle(self, reader, writer):
            asyncio.get_running_loop().call_later(0.1, writer.write, SERVED_LEAVING)
            await super().handle(reader, writer)

    state = await entry.add(Talkative())
    await entry.ask()

    await _until(lambda: state.report.is_leaving)


async def test_stream_on_a_leaving_upstream_goes_on_to_its_end(entry):
    first = _stream(b"id: 1\ndata: a\n\n", fields=(LEAVING,))
    rest = b"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"

    class Slow(StandIn):
        async def handle(self, reader, writer):
            asyncio.get_running_loop().call_later(0.3, writer.write, rest)
            await super().handle(reader, writer)

    leaving, other = Slow(first), StandIn(then=_stream() + b"0\r\n\r\n")
    state = await entry.add(leaving)
    await entry.add(other)
    running = asyncio.ensure_future(entry.ask("stream"))
    await _until(lambda: state.report.is_leaving)
    await entry.ask("stream")

    assert (await running).body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert (len(leaving.seen), len(other.seen)) == (1, 1)


async def test_retry_avoids_an_upstream_that_leaves(entry):
    failing, leaving, sound = StandIn(_answer(500, SIGNED)), StandIn(), StandIn()
    await entry.add(failing)
    state = await entry.add(leaving)
    await entry.add(sound)
    state.report.record_leaving("answer", _now())

    assert (await entry.ask(attempts=3)).status == 200
    assert leaving.seen == []


async def test_silent_upstream_is_not_taken_over_by_one_that_leaves(entry):
    silent, leaving = StandIn(then=None), StandIn()
    await entry.add(silent)
    state = await entry.add(leaving)
    state.report.record_leaving("answer", _now())

    assert (await entry.ask(seconds=1.2)).status == 504
    assert leaving.seen == []


async def test_stream_is_not_resumed_on_an_upstream_that_leaves(entry):
    broken = StandIn(_stream(b"id: 1\ndata: a\n\n") + b"CUT")
    leaving = StandIn(then=_stream(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")
    sound = StandIn(then=_stream(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")
    await entry.add(broken)
    state = await entry.add(leaving)
    await entry.add(sound)
    state.report.record_leaving("answer", _now())

    caller = await entry.ask("stream", resumable=True, attempts=3)

    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert leaving.seen == []


@pytest.mark.parametrize("word", ["leaving", "quiet"])
async def test_cached_prompt_does_not_draw_requests(entry, word):
    entry.service = replace(entry.service, engine=Engine(4, 1000))
    prompt = (PromptPart("a", 10), PromptPart("b", 10))
    stand_ins = [StandIn(), StandIn(), StandIn()]
    states = [await entry.add(stand_in) for stand_in in stand_ins]
    await entry.ask(prompt=prompt)
    [cached] = [n for n, stand_in in enumerate(stand_ins) if stand_in.seen]
    if word == "leaving":
        states[cached].report.record_leaving("answer", _now())
    else:
        states[cached].report.record_quiet(60.0, 0.0, "answer", _now())

    assert (await entry.ask(prompt=prompt)).status == 200
    assert len(stand_ins[cached].seen) == 1


@pytest.mark.parametrize("word", ["leaving", "quiet"])
async def test_word_that_comes_while_a_connection_opens_is_heeded(entry, word):
    chosen, other = StandIn(), StandIn()
    state = await entry.add(chosen)
    await entry.add(other)
    acquire = entry.pool.acquire

    async def acquire_late(address, now, owner=None, **options):
        connection = await acquire(address, now, owner, **options)
        if owner is state.report and word == "quiet":
            state.report.record_quiet(60.0, 0.0, "answer", _now())
        elif owner is state.report:
            state.report.record_leaving("answer", _now() - 1.5)
        return connection

    entry.pool.acquire = acquire_late

    assert (await entry.ask("unsafe")).status == 200
    assert (chosen.seen, len(other.seen)) == ([], 1)
    assert state.failure_rate == 0.0
    assert len(entry.samples) == 1


async def test_upstreams_that_all_leave_are_used_for_a_second_at_most(entry):
    leaving = StandIn(then=SERVED_LEAVING)
    state = await entry.add(leaving)
    await entry.ask()
    assert (await entry.ask()).status == 200
    state.report.leaving_since -= 1.0

    assert (await entry.ask()).status == 503
    assert len(leaving.seen) == 2


async def test_canary_traffic_avoids_an_upstream_that_leaves(entry):
    old, leaving, new = StandIn(), StandIn(), StandIn()
    await entry.add(old)
    state = await entry.add(leaving, "v2")
    await entry.add(new, "v2")
    order = RolloutOrder("s", "s", "v2", 16.0, RolloutOutcome.RUNNING, 1)
    entry.fleet.apply_order(order)
    progress = RolloutProgress(order, _now())
    entry.rollouts.progress_by_service["s"] = progress
    notice = ShareNotice("s", "v2", 1.0, 1.0)
    entry.rollouts.handle_share_notice(notice, _now())
    state.report.record_leaving("answer", _now())

    for _ in range(5):
        assert (await entry.ask()).status == 200

    assert (old.seen, leaving.seen, len(new.seen)) == ([], [], 5)


@pytest.mark.parametrize("word", ["leaving", "quiet"])
async def test_cold_upstream_with_a_word_gets_nothing(entry, word):
    entry.service = replace(entry.service, cold_rate=1000.0)
    cold = StandIn()
    state = await entry.add(cold)
    state.upstream = replace(state.upstream, cold_until=_now() + 60.0)
    if word == "leaving":
        state.report.record_leaving("answer", _now() - 5.0)
    else:
        state.report.record_quiet(7.0, 0.0, "answer", _now())

    caller = await entry.ask()

    assert (caller.status, cold.seen) == (503, [])
    if word == "quiet":
        assert 6.5 < float(caller.headers.get("Retry-After")) <= 7.0


async def test_leaving_is_not_told_to_the_caller(entry):
    await entry.add(StandIn(then=SERVED_LEAVING))

    assert (await entry.ask()).headers.get("Server-Leaving") is None


async def test_caller_cannot_say_that_an_upstream_leaves(entry):
    stand_in = StandIn()
    state = await entry.add(stand_in)

    await entry.ask(fields=(("Server-Leaving", "1"), ("Retry-After", "9")))

    assert not state.report.is_leaving
    assert not state.report.is_quiet(_now())


# Quiet.


async def test_quiet_upstream_gets_nothing_while_another_serves(entry):
    quiet, other = StandIn(_quiet(0.5)), StandIn()
    state = await entry.add(quiet)
    await entry.add(other)
    for _ in range(10):
        assert (await entry.ask()).status == 200

    assert len(quiet.seen) == 1
    assert state.failure_rate == 0.0
    assert not state.in_backoff(_now())


async def test_request_waits_for_the_end_of_a_quiet_period(entry):
    quiet = StandIn(_quiet(0.4))
    await entry.add(quiet)

    assert (await entry.ask()).status == 200

    first, second = (at for at, _ in quiet.seen)
    assert second - first >= 0.4


async def test_requests_that_wait_for_the_end_come_one_by_one(entry):
    quiet = StandIn(_quiet(0.4))
    await entry.add(quiet)

    callers = await asyncio.gather(*(entry.ask() for _ in range(6)))
    more = await asyncio.gather(*(entry.ask() for _ in range(6)))

    assert {caller.status for caller in (*callers, *more)} == {200}
    times = [at for at, _ in quiet.seen]
    returned = [at for at in times if at >= times[0] + 0.4]
    assert returned[-1] - returned[0] > 0.1


async def test_longer_quiet_period_holds_back_requests_that_wait(entry):
    """A request that waited since before the word came is checked again."""
    quiet = StandIn()
    state = await entry.add(quiet)
    state.report.record_quiet(0.2, 0.0, "answer", _now())
    began = _now()
    asking = asyncio.ensure_future(entry.ask())
    await asyncio.sleep(0.1)
    state.report.record_quiet(0.5, 0.0, "answer", _now())

    assert (await asking).status == 200
    assert quiet.seen[0][0] - began >= 0.6


async def test_caller_is_refused_at_once_with_the_time_of_the_first_return(entry):
    slow, soon = StandIn(), StandIn()
    for stand_in, seconds in ((slow, 60.0), (soon, 7.0)):
        state = await entry.add(stand_in)
        state.report.record_quiet(seconds, 0.0, "answer", _now())
    began = _now()

    caller = await entry.ask()

    assert _now() - began < 1.0
    assert caller.status == 503
    assert json.loads(caller.body)["ran"] == "no"
    assert 6.5 < float(caller.headers.get("Retry-After")) <= 7.0
    assert slow.seen == soon.seen == []


async def test_rejected_request_is_refused_with_the_time_of_the_return(entry):
    quiet = StandIn(_quiet(20))
    await entry.add(quiet)

    for attempts in (1, 2):
        caller = await entry.ask(attempts=attempts)
        assert caller.status == 503
        assert float(caller.headers.get("Retry-After")) > 19.0
    assert len(quiet.seen) == 1


async def test_retry_after_of_a_failure_is_passed_on_unchanged(entry):
    await entry.add(StandIn(_answer(503, SIGNED, "Retry-After: 2.75")))

    caller = await entry.ask("safe")

    assert (caller.status, caller.headers.get("Retry-After")) == (503, "2.75")


@pytest.mark.parametrize("signature", [(SIGNED,), ()])
@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("kind", ["unsafe", "stream"])
async def test_status_that_promises_not_run_is_passed_on_only_if_the_upstream_says_so(
    entry, kind, status, signature
):
    """A caller was told "not run" for a request that had run."""
    await entry.add(StandIn(_answer(status, *signature, "Retry-After: 2.75")))
    other = StandIn()
    await entry.add(other)

    caller = await entry.ask(kind)

    assert (caller.status, json.loads(caller.body)["ran"]) == (502, "unknown")
    assert caller.headers.get("Retry-After") is None
    assert other.seen == []


async def test_rejections_with_a_word_are_no_samples_of_a_rollout(entry):
    """A version that only asked for quiet looked as if it had served, and fast."""
    quiet = StandIn(_quiet(20))
    await entry.add(quiet)

    await entry.ask("unsafe", attempts=1)

    assert (len(quiet.seen), entry.samples) == (1, [])


def test_version_that_only_asks_for_quiet_is_taken_back():
    """There are no samples of it, so that it never proves itself."""
    order = RolloutOrder("s", "s", "v2", 16.0, None, 1)
    driver = RolloutDriver.begin(RolloutProgress(order, 0.0), "v1", 0.0)
    now = 0.0
    while driver.outcome is None and now < 30.0:
        now += 0.1
        driver.advance(now)

    assert driver.outcome is RolloutOutcome.TAKEN_BACK
    assert now <= 16.5


# Pieces of steps.


@pytest.fixture
def make_batcher(entry, batching):
    def make():
        entry.service = Service("s", "/", 10, 0.0, 0.0, batching=batching)
        entry.fleet.configuration = FleetConfiguration(
            1, (), {"s": entry.service}, {}, CallerLimits(), False
        )
        client = PieceClient(Dialect(), ConnectionPool(), _now)
        client.answers = AnswerRecorder(entry.fleet, Dialect(), Random(1))
        return Batcher(entry.fleet, client, "s", Pool.named("everywhere"), _now)

    return make


def _submit(batcher, make_job, *names):
    now = _now()
    jobs = [make_job(name, now + 2, hard_deadline=now + 4) for name in names]
    batcher.submit(jobs, now)
    return jobs


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(
            _answer(200, LEAVING, body=b'{"entries":[{"handle":"h/1"}]}'), id="served"
        ),
        pytest.param(_answer(503, LEAVING), id="full"),
        pytest.param(_answer(500, LEAVING), id="error"),
        pytest.param(_answer(200, LEAVING, body=b"long")[:-2] + b"CUT", id="cut"),
        pytest.param(_quiet(60), id="quiet"),
    ],
)
async def test_word_in_the_answer_of_a_step_is_heeded(
    entry, make_batcher, make_job, answer
):
    speaking, other = StandIn(answer, then=SERVED_PIECE), StandIn(then=SERVED_PIECE)
    await entry.add(speaking)
    await entry.add(other)
    batcher = make_batcher()
    _submit(batcher, make_job, "p1")
    report = entry.fleet.state_by_id["u0"].report
    await _until(lambda: report.is_leaving or report.is_quiet(_now()))
    for number in range(4):
        _submit(batcher, make_job, f"p{number + 2}")
        await _until(lambda n=number: len(other.seen) > n)

    assert len(speaking.seen) == 1
    assert len(other.seen) >= 4


# Guards against load reports of upstreams of steps that nobody reads.
async def test_answer_of_a_step_reports_the_load_and_the_pace(
    entry, make_batcher, make_job
):
    load = "Vanillawharf-Runner-Load: 1,2,1,140"
    body = b'{"entries":[{"handle":"h/1"}]}'
    state = await entry.add(StandIn(_answer(200, load, body=body)))
    batcher = make_batcher()
    batcher._client.record_load = entry.fleet.record_load
    _submit(batcher, make_job, "p1")
    await _until(lambda: entry.fleet.shared_host_services)

    assert (state.reported_load, state.host_pace) == (3, 1.4)


@pytest.mark.parametrize("word", ["leaving", "quiet"])
async def test_queued_pieces_are_not_sent_after_the_word(
    entry, make_batcher, make_job, word
):
    stand_in = StandIn(then=SERVED_PIECE, after_seconds=0.7)
    state = await entry.add(stand_in)
    batcher = make_batcher()
    _submit(batcher, make_job, *(f"p{n}" for n in range(9)))
    await _until(lambda: len(stand_in.seen) == batcher._batching().concurrency)
    if word == "leaving":
        state.report.record_leaving("answer", _now() - 1.0)
    else:
        state.report.record_quiet(60.0, 0.0, "answer", _now())
    await _until(lambda: not state.in_flight)
    await asyncio.sleep(0.2)

    assert len(stand_in.seen) == batcher._batching().concurrency


async def test_piece_whose_connection_opened_too_late_is_not_lost(
    entry, make_batcher, make_job
):
    first = StandIn(then=SERVED_PIECE)
    state = await entry.add(first)
    batcher = make_batcher()
    _submit(batcher, make_job, "p1")
    state.report.record_quiet(0.5, 0.0, "answer", _now())
    await _until(lambda: first.seen)

    assert first.seen[0][0] >= state.report.quiet_until
    assert state.failure_rate == 0.0


async def test_results_are_dropped_after_the_quiet_period(entry, make_batcher):
    stand_in = StandIn()
    state = await entry.add(stand_in)
    client = make_batcher()._client
    state.report.record_quiet(0.3, 0.0, "answer", _now())
    client.free_orphaned([f"{state.upstream.address}/1"])
    await _until(lambda: stand_in.seen)

    [(at, path)] = stand_in.seen
    assert path == Dialect.free_path
    assert at >= state.report.quiet_until


@pytest.mark.parametrize("word", ["leaving", "quiet"])
async def test_upstream_with_a_word_is_not_asked_for_its_free_space(
    entry, make_batcher, word
):
    stand_in = StandIn()
    state = await entry.add(stand_in)
    client = make_batcher()._client
    if word == "leaving":
        state.report.record_leaving("answer", _now() - 5.0)
    else:
        state.report.record_quiet(60.0, 0.0, "answer", _now())

    assert await client.free_bytes(state.upstream) is None
    assert stand_in.seen == []


@pytest.mark.parametrize("call", ["report", "free"])
async def test_every_call_of_steps_can_bring_the_word(entry, make_batcher, call):
    state = await entry.add(StandIn(then=SERVED_LEAVING))
    client = make_batcher()._client
    if call == "report":
        await client.free_bytes(state.upstream)
    else:
        await client.free(state.upstream.address, ["h/1"])

    assert state.report.is_leaving


async def test_preparation_that_a_peer_hands_over_is_refused_while_all_are_quiet(
    entry, make_batcher
):
    """The owner of the pool decides by what its own upstreams have told it."""
    stand_in = StandIn(then=SERVED_PIECE)
    state = await entry.add(stand_in)
    client = make_batcher()._client
    state.report.record_quiet(8.0, 0.0, "answer", _now())
    preparer = Preparer(entry.fleet, client, Pool.named("everywhere"), _now)
    steps = (Step("s", (), 1),)
    now = _now()
    preparation = Preparation("r1", steps, (1,), "k", 0, now + 1, now + 2, "")

    answer = await asyncio.wait_for(preparer.run(preparation), 1.0)

    assert 7.0 < answer.unwrap_err().retry_after <= 8.0
    assert stand_in.seen == []


async def test_operators_see_why_an_upstream_gets_nothing(entry):
    await entry.add(StandIn(_answer(503, NOT_RUN, LEAVING, "Retry-After: 5")))

    with capture_logs() as lines:
        await entry.ask("unsafe", attempts=1)

    word = entry.fleet.dump(_now())["u0"]["word"]
    assert (word["says"], word["by"]) == ("leaving", "answer to r1")
    events = [line["event"] for line in lines]
    assert "upstream_leaving" in events
    assert "upstream_quiet" in events


# Unsolicited responses.


class LateCopies:
    """An upstream whose `first` answer comes once more, before the next answer.

    That is on the same connection. All other answers are `then`, of which `sent` is the
    number.
    """

    def __init__(self, first, then=SERVED):
        self._first, self._then = first, then
        self._began = False
        self.sent = 0

    async def handle(self, reader, writer):
        late = b""
        while head := await reader.readline():
            head += await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            await reader.readexactly(int(length[1]) if length else 0)
            if self._began:
                self.sent += 1
                writer.write(late + self._then)
            else:
                late, self._began = self._first, True
                writer.write(self._first)


async def test_late_copy_of_a_refusal_is_no_response_to_the_request_sent_again(entry):
    """The request ran twice, or once with its caller told that it had not run."""
    upstream = LateCopies(_quiet(0.2))
    await entry.add(upstream)

    caller = await entry.ask("unsafe", attempts=3)

    assert (caller.status, caller.body, upstream.sent) == (200, OK_BODY, 1)


REPORT = b'{"freeMb":1}'
WITHOUT_ID = SERVED.replace(f"{ID}: r1\r\n".encode(), b"")
REFUSED_WITHOUT_ID = _quiet(0.2).replace(f"{ID}: r1\r\n".encode(), b"")


@pytest.mark.parametrize("answer", [WITHOUT_ID, REFUSED_WITHOUT_ID])
async def test_response_without_an_id_is_no_response_to_an_unsafe_request(
    entry, answer
):
    """A caller got another request's body, or was told "not run" for one that runs."""
    faulty, other = StandIn(answer + SERVED), StandIn()
    await entry.add(faulty)
    await entry.add(other)

    caller = await entry.ask("unsafe", attempts=3)

    assert caller.status == 502
    assert (len(faulty.seen), len(other.seen)) == (1, 0)


@pytest.mark.parametrize("kind", ["safe", "stream"])
async def test_request_with_a_response_without_an_id_is_sent_elsewhere(entry, kind):
    """A caller got another request's body."""
    ends = []
    entry.pool.on_unsolicited = lambda address, *end: ends.append(end)
    await entry.add(StandIn(WITHOUT_ID))
    other = StandIn(_stream(b"data: a\n\n") + b"0\r\n\r\n", then=SERVED)
    await entry.add(other)

    caller = await entry.ask(kind, resumable=True)

    assert (caller.status, len(other.seen)) == (200, 1)
    assert ends == [(Unsolicited.NO_ID, True)]
    assert not entry.pool._idle[entry.fleet.state_by_id["u0"].upstream.address]


async def test_response_to_another_request_is_counted_by_cause(entry):
    ends = []
    entry.pool.on_unsolicited = lambda address, *end: ends.append(end)
    await entry.add(StandIn(_answer(200, SIGNED, f"{ID}: r0", body=b"bad") + SERVED))

    caller = await entry.ask("unsafe")

    assert (caller.status, caller.body) == (200, OK_BODY)
    assert ends == [(Unsolicited.OTHER_ID, False)]


async def test_late_copy_of_an_answer_is_no_report(entry):
    """The room for results was the one of an earlier answer."""
    copies = LateCopies(_answer(200, body=b'{"freeMb":9}'), _answer(200, body=REPORT))
    state = await entry.add(copies)
    client = PieceClient(Dialect(), ConnectionPool(), _now)
    await client.free(state.upstream.address, ["h/1"])

    assert await client.free_bytes(state.upstream) == 1_000_000


# Guards against the result of an earlier call with pieces that is taken for another's.
async def test_late_copy_of_an_answer_is_no_answer_to_the_next_call_with_pieces(
    entry, make_job
):
    results = [b'{"entries":[{"handle":"h/%d"}]}' % number for number in (1, 2)]
    copies = LateCopies(*(_answer(200, body=result) for result in results))
    state = await entry.add(copies)
    client = PieceClient(Dialect(), ConnectionPool(), _now)

    found = [
        await client.run(state.upstream, [make_job(name, _now() + 1)], 1.0, _now())
        for name in ("p1", "p2")
    ]

    assert [answer.unwrap()[0].handle for answer in found] == ["h/1", "h/2"]


async def test_late_copy_of_a_report_is_not_the_next_report(entry):
    """The room for results was the one of an earlier report."""
    copies = LateCopies(_answer(200, body=b'{"freeMb":9}'), _answer(200, body=REPORT))
    state = await entry.add(copies)
    client = PieceClient(Dialect(), ConnectionPool(), _now)
    await client.free_bytes(state.upstream)

    assert await client.free_bytes(state.upstream) == 1_000_000
