"""Responses to callers for what upstreams do, over real connections."""

import asyncio
import json
import time
from dataclasses import replace
from random import Random

import pytest
from result import Err, Ok

from wharf_coordination.code import Code
from wharf_coordination.rate_share import RateShare
from wharf_gateway.crash_guard import CrashGuard
from wharf_gateway.fleet import Fleet
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.request_details import RequestDetails
from wharf_gateway.model.response_details import ResponseDetails
from wharf_gateway.model.route import Route
from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.model.service import Service
from wharf_gateway.model.step import Step
from wharf_gateway.model.target import Target
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.request_context import RequestContext
from wharf_gateway.request_runner import RequestRunner
from wharf_gateway.rollouts.rollout_manager import RolloutManager
from wharf_gateway.routing.retry_budgets import RetryBudgets
from wharf_gateway.routing.upstream_limit import UpstreamLimit
from wharf_gateway.routing.upstream_limits import UpstreamLimits
from wharf_gateway.stages.preparation_failure import PreparationFailure
from wharf_gateway.telemetry.meter import Meter

SIGNED = b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"
FAILED = b"HTTP/1.1 500 Error\r\nId: r1\r\nSigned: 1\r\nContent-Length: 3\r\n\r\nbad"
FULL = b"HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
UNSIGNED = b"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nno"
STREAM = b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n"


class PlainDialect:
    """A minimal dialect with header fields of its own."""

    id_field = "Id"

    def read_response(self, head):
        headers = head.headers
        has_run = headers.get("not-run") is None
        return ResponseDetails(
            headers.get("id"),
            not has_run,
            "signed" in _names(head),
            None,
            leaving=headers.joined("leaving"),
            retry_after=headers.joined("retry-after"),
        )

    def caller_fields(self, headers):
        return headers.end_to_end({"leaving", "content-length"})

    def upstream_fields(self, headers, upstream_id, seconds, *rest):
        return headers.plus(("Seconds", f"{seconds:.1f}"))

    def resumed_fields(self, headers, last_event):
        return headers.plus(("Last", last_event))


def _names(head):
    return {name.lower() for name, _ in head.headers.fields}


class Caller:
    """A responder that records the response."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.is_started = False
        self.ending = None

    def answer(self, status, headers, body=b""):
        self.status, self.body, self.ending = status, body, "whole"
        self.headers = headers

    def begin(self, status, headers):
        self.status, self.is_started = status, True

    async def send(self, data):
        self.body += data

    def end(self):
        self.ending = "whole"

    def abort(self):
        self.ending = "broken"


class Alone:
    """A gateway without peers."""

    is_candidate = True

    def is_repeater(self, now):
        return True

    def post_all(self, message):
        pass


class Upstreams:
    """Servers that send fixed parts; `seen` holds the heads of their requests.

    Parts that are functions are called for what to send, and parts that are numbers are
    seconds of silence.
    """

    def __init__(self, raw_server):
        self._raw_server = raw_server
        self.fleet = Fleet(PlainDialect())
        self.seen = []

    async def add(self, *parts, silent=False):
        async def handle(reader, writer):
            self.seen.append(await reader.readuntil(b"\r\n\r\n"))
            for part in parts:
                if isinstance(part, float):
                    await asyncio.sleep(part)
                    continue
                writer.write(part() if callable(part) else part)
                await writer.drain()
                await asyncio.sleep(0.01)
            if silent:
                await reader.read()
            writer.close()

        await self.add_at(await self._raw_server(handle))

    async def add_at(self, address):
        name = f"u{len(self.fleet.state_by_id)}"
        upstream = Upstream(name, "s", address, "dc-1", "v1", 4, False, 0)
        state = self.fleet.add(upstream)
        # A lower latency makes the upstream added first the first choice.
        state.latency = 0.01 * len(self.fleet.state_by_id)


@pytest.fixture
def upstreams(raw_server):
    return Upstreams(raw_server)


@pytest.fixture
def ask(upstreams, shutdown, route_times):
    async def run(
        kind,
        *,
        attempts=2,
        resumable=False,
        seconds=2.0,
        cold_rate=0.0,
        steps=(),
        router=None,
        budgets=None,
    ):
        loop = asyncio.get_running_loop()
        route = Route(
            *("r", "h", "/", RouteKind(kind), seconds, 1.0, 0),
            (Target("s"),),
            attempts,
            steps,
            is_resumable=resumable,
        )
        service = Service("s", "/", 10, 0.0, cold_rate)
        upstreams.fleet.configuration = FleetConfiguration(
            1, (route,), {"s": service}, {}, CallerLimits(), False
        )
        now = loop.time()
        inbound = InboundRequest("GET", "/", Headers((("Id", "r1"),)), now)
        context = RequestContext(
            *(inbound, route, RequestDetails("r1"), None, False, now + 1), now + seconds
        )
        pool, meter = ConnectionPool(), Meter()
        guard = CrashGuard("g", pool, Alone(), loop.time, meter)
        runner = RequestRunner(
            upstreams.fleet,
            PlainDialect(),
            pool,
            router,
            RolloutManager(upstreams.fleet, None, None, None, None, loop.time),
            budgets or RetryBudgets(0.2, 50, lambda: 1),
            loop.time,
            Random(1),
            meter,
            guard,
            UpstreamLimits("g", upstreams.fleet, Alone(), lambda: {}),
            shutdown,
            route_times,
        )
        caller = Caller()
        await runner.run(context, caller)
        return caller

    return run


async def test_stream_that_sends_bytes_but_no_event_is_resumed(upstreams, ask):
    """Each byte once began the time limit anew, so that the stream never ended."""
    first = STREAM + b"f\r\nid: 1\ndata: a\n\n\r\n"
    await upstreams.add(first, *[b"1\r\n:\r\n"] * 500, silent=True)
    await upstreams.add(STREAM, b"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")

    caller = await ask("stream", resumable=True, seconds=4.0)

    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.ending == "whole"


async def test_slow_but_sound_stream_is_not_cut(upstreams, ask):
    event = b"9\r\ndata: a\n\n\r\n"
    pauses = [event, *[b""] * 60] * 3
    await upstreams.add(STREAM, *pauses, b"0\r\n\r\n")

    caller = await ask("stream", resumable=True, seconds=4.0)

    assert (caller.body, caller.ending) == (b"data: a\n\n" * 3, "whole")
    assert len(upstreams.seen) == 1


async def test_answer_over_the_limit_has_its_own_code(upstreams, ask):
    size = (1 << 20) + 1
    await upstreams.add(
        b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n" % size
    )
    await upstreams.add(SIGNED)

    caller = await ask("unsafe")

    assert json.loads(caller.body)["code"] == Code.ANSWER_TOO_LARGE
    assert len(upstreams.seen) == 1


async def test_response_is_forwarded(upstreams, ask):
    await upstreams.add(SIGNED)

    caller = await ask("unsafe")

    assert (caller.status, caller.body) == (200, b"ok")


async def test_unsafe_request_that_may_have_run_is_not_retried(upstreams, ask):
    await upstreams.add(b"HTTP/1.1 200")
    await upstreams.add(SIGNED)

    caller = await ask("unsafe")

    assert caller.status == 502
    assert len(upstreams.seen) == 1


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 500 Error\r\nId: r1\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nbad",
        b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
)
async def test_answer_that_ends_early_is_replaced_by_502(upstreams, ask, part):
    # Guards against a caller that gets a part of an answer, or nothing.
    await upstreams.add(part)

    caller = await ask("unsafe")

    assert (caller.status, caller.ending) == (502, "whole")


@pytest.mark.parametrize("status", ["000", "007", "99", "600", "999", "abc", "1000"])
async def test_answer_whose_status_is_none_is_broken(upstreams, ask, status):
    """A status of 000 reached the caller as an answer."""
    fields = "Id: r1\r\nSigned: 1\r\nContent-Length: 2"
    answer = f"HTTP/1.1 {status} X\r\n{fields}\r\n\r\nno".encode()
    await upstreams.add(answer)
    await upstreams.add(SIGNED)

    unsafe = await ask("unsafe")

    assert unsafe.status == 502
    assert json.loads(unsafe.body)["code"] == Code.ANSWER_BROKEN
    assert len(upstreams.seen) == 1
    assert (await ask("safe")).body == b"ok"


async def test_unsafe_request_is_retried_when_it_was_not_sent(upstreams, ask):
    await upstreams.add_at("127.0.0.1:1")
    await upstreams.add(SIGNED)

    assert (await ask("unsafe", attempts=1)).status == 200


async def test_refusal_by_the_upstream_is_reported_as_not_run(upstreams, ask):
    await upstreams.add(FULL)

    caller = await ask("unsafe", attempts=1)

    assert caller.status == 503
    assert float(caller.headers.get("Retry-After")) > 0


async def test_safe_request_is_retried_after_a_failure(upstreams, ask):
    await upstreams.add(FAILED)
    await upstreams.add(SIGNED)

    assert (await ask("safe")).status == 200


async def test_last_failure_is_forwarded(upstreams, ask):
    await upstreams.add(FAILED)
    await upstreams.add(FAILED)

    caller = await ask("safe")

    assert (caller.status, caller.body) == (500, b"bad")


async def test_unsigned_success_is_a_failure(upstreams, ask):
    await upstreams.add(UNSIGNED)

    assert (await ask("unsafe")).status == 502


async def test_request_without_upstreams_has_not_run(ask):
    assert (await ask("unsafe")).status == 503


async def test_silent_upstream_times_out_at_the_deadline(upstreams, ask):
    await upstreams.add(silent=True)

    assert (await ask("unsafe", seconds=0.1)).status == 504


async def test_broken_stream_is_resumed_after_the_last_complete_event(upstreams, ask):
    await upstreams.add(STREAM, b"f\r\nid: 1\ndata: a\n\nid\r\n")
    await upstreams.add(STREAM, b"d\r\nid: 2\ndata: b\r\n2\r\n\n\n\r\n0\r\n\r\n")

    caller = await ask("stream", resumable=True)

    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.ending == "whole"
    assert b"Last: 1\r\n" in upstreams.seen[1]


async def test_stream_that_ends_with_its_connection_before_an_event_is_retried(
    upstreams, ask
):
    """A crash before the first event looked like a whole answer without events."""
    head = b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nConnection: close\r\n\r\n"
    await upstreams.add(head)
    await upstreams.add(head, b"id: 1\ndata: a\n\n")

    caller = await ask("stream", resumable=True)

    assert (caller.body, caller.ending) == (b"id: 1\ndata: a\n\n", "whole")


async def test_stream_that_ends_with_its_connection_in_an_event_is_resumed(
    upstreams, ask
):
    head = b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nConnection: close\r\n\r\n"
    await upstreams.add(head, b"id: 1\ndata: a\n\nid: 2\nda")
    await upstreams.add(head, b"id: 2\ndata: b\n\n")

    caller = await ask("stream", resumable=True)

    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.ending == "whole"


async def test_broken_stream_without_resumption_is_aborted(upstreams, ask):
    await upstreams.add(STREAM, b"f\r\nid: 1\ndata: a\n\nid\r\n")
    await upstreams.add(SIGNED)

    caller = await ask("stream")

    assert caller.ending == "broken"
    assert len(upstreams.seen) == 1


async def test_safe_request_is_retried_when_the_upstream_is_silent(upstreams, ask):
    await upstreams.add(silent=True)
    await upstreams.add(SIGNED)

    assert (await ask("safe", seconds=1.0)).status == 200


async def test_stalled_stream_is_resumed_on_another_upstream(upstreams, ask):
    await upstreams.add(STREAM, b"f\r\nid: 1\ndata: a\n\n\r\n", silent=True)
    await upstreams.add(STREAM, b"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")

    caller = await ask("stream", resumable=True, seconds=3.0)

    assert caller.body.endswith(b"id: 2\ndata: b\n\n")
    assert caller.ending == "whole"


async def test_first_event_of_a_resumed_stream_is_a_success_of_its_upstream(
    upstreams, ask
):
    """Only the first upstream of a stream was measured, so that one which resumed it
    kept the backoff of an earlier failure.
    """
    await upstreams.add(STREAM, b"f\r\nid: 1\ndata: a\n\n\r\n")
    await upstreams.add(STREAM, b"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
    second = upstreams.fleet.state_by_id["u1"]
    second.record_unreachable(0.0)

    await ask("stream", resumable=True)

    assert not second.needs_probe


def _limit_all(upstreams, rate):
    now = asyncio.get_running_loop().time()
    for state in upstreams.fleet.state_by_id.values():
        state.limit = UpstreamLimit(rate, now, RateShare(rate, now))


async def test_request_waits_for_an_upstream_at_its_limit(upstreams, ask):
    await upstreams.add(SIGNED)
    _limit_all(upstreams, 5.0)
    began = asyncio.get_running_loop().time()

    assert (await ask("safe")).status == 200
    assert asyncio.get_running_loop().time() - began > 0.15


async def test_request_is_refused_at_once_if_all_upstreams_stay_at_their_limits(
    upstreams, ask
):
    await upstreams.add(SIGNED)
    _limit_all(upstreams, 0.2)
    began = asyncio.get_running_loop().time()

    caller = await ask("safe", seconds=2.0)

    assert asyncio.get_running_loop().time() - began < 0.1
    assert json.loads(caller.body) == {
        "code": Code.UPSTREAM_FULL,
        "error": "upstream_full",
        "ran": "no",
    }
    assert 4.0 < float(caller.headers.get("Retry-After")) <= 5.0
    assert upstreams.seen == []


async def test_cold_upstream_at_its_limit_is_not_waited_for(upstreams, ask):
    """Its cold rate would have been exceeded by the requests that waited."""
    await upstreams.add(SIGNED)
    _limit_all(upstreams, 5.0)
    state = upstreams.fleet.state_by_id["u0"]
    now = asyncio.get_running_loop().time()
    state.upstream = replace(state.upstream, cold_until=now + 60.0)

    assert (await ask("safe", cold_rate=0.01)).status == 503
    assert upstreams.seen == []


async def test_upstream_below_its_limit_is_preferred_to_waiting(upstreams, ask):
    await upstreams.add(SIGNED)
    await upstreams.add(SIGNED)
    _limit_all(upstreams, 0.2)
    upstreams.fleet.state_by_id["u1"].limit = None

    assert (await ask("safe")).status == 200


async def test_hanging_upstream_gets_a_failure_share(upstreams, ask):
    await upstreams.add(silent=True)

    await ask("unsafe", seconds=0.6)

    assert upstreams.fleet.state_by_id["u0"].failure_rate > 0


@pytest.mark.parametrize("second", [FULL, None])
async def test_request_that_may_have_run_is_never_reported_as_not_run(
    upstreams, ask, second
):
    """Even if it may be repeated and the second attempt certainly did not run."""
    await upstreams.add(FAILED)
    if second:
        await upstreams.add(second)
    else:
        await upstreams.add_at("127.0.0.1:1")

    caller = await ask("safe", attempts=3)

    assert (caller.status, caller.body) == (500, b"bad")


async def test_stream_that_may_have_run_is_never_reported_as_not_run(upstreams, ask):
    await upstreams.add(STREAM)
    await upstreams.add(FULL)

    assert (await ask("stream", resumable=True, attempts=3)).status == 502


class WaitingRouter:
    """A preparation router whose preparations wait until they are cancelled."""

    def __init__(self):
        self.cancelled = 0

    async def run(self, preparation, context):
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled += 1


def _stop_in(shutdown, seconds, seconds_left):
    """Begin a stop `seconds` from now, which ends `seconds_left` after that."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds + seconds_left
    loop.call_later(seconds, shutdown.begin, ends_at)
    return ends_at


def _now():
    return asyncio.get_running_loop().time()


# Guards against a request whose steps wait until the process is gone: its connection
# then closed without an answer.
async def test_request_that_waits_for_its_steps_is_refused_before_a_stop_ends(
    ask, upstreams, shutdown
):
    await upstreams.add(SIGNED)
    router = WaitingRouter()
    ends_at = _stop_in(shutdown, 0.05, 0.8)

    caller = await ask("unsafe", steps=(Step("s", (), 1),), router=router)

    assert (caller.status, caller.ending) == (503, "whole")
    assert json.loads(caller.body)["code"] == Code.ENTRY_STOPPING
    assert caller.headers.get("retry-after") == "0.10"
    assert ends_at - 0.55 < _now() < ends_at - 0.4  # 0.5 s are left for an engine
    assert router.cancelled == 1
    assert upstreams.seen == []


# Guards against a refusal with a foreign reason: others' answers lower what is expected
# of an upstream while a request waits.
async def test_refusal_at_a_stop_names_it_also_if_upstreams_become_faster_meanwhile(
    ask, upstreams, shutdown, route_times
):
    await upstreams.add(SIGNED)
    _stop_in(shutdown, 0.05, 0.8)
    asyncio.get_running_loop().call_later(0.2, route_times.record, "r", 0.1, 0.01)

    caller = await ask("unsafe", steps=(Step("s", (), 1),), router=WaitingRouter())

    assert json.loads(caller.body)["code"] == Code.ENTRY_STOPPING


# Guards against steps that are run for a request that can't be sent any more.
async def test_steps_do_not_start_when_an_upstream_could_not_answer_before_the_exit(
    ask, upstreams, shutdown
):
    await upstreams.add(SIGNED)
    shutdown.begin(_now() + 0.3)
    router = WaitingRouter()

    caller = await ask("stream", steps=(Step("s", (), 1),), router=router)

    assert (caller.status, router.cancelled) == (503, 0)


# Guards against cutting off what a sound upstream answers late in a stop.
async def test_silence_of_an_upstream_does_not_end_a_request_early_in_a_stop(
    ask, upstreams, shutdown
):
    await upstreams.add(SIGNED[:-2], *[b""] * 60, b"ok")
    _stop_in(shutdown, 0.05, 1.5)

    caller = await ask("unsafe")

    assert (caller.status, caller.body) == (200, b"ok")


# Guards against a connection that closes silently on a request that is still running
# at its upstream when the process exits.
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_request_that_runs_until_the_exit_is_told_that_it_may_have_run(
    ask, upstreams, shutdown, kind
):
    await upstreams.add(silent=True)
    ends_at = _stop_in(shutdown, 0.05, 0.6)

    caller = await ask(kind, attempts=1)

    assert (caller.status, caller.ending) == (504, "whole")
    body = json.loads(caller.body)
    assert (body["code"], body["ran"]) == (Code.ENTRY_STOPPING, "unknown")
    assert ends_at <= _now() < ends_at + 0.1


# Guards against a stream that looks whole although the process exited in its midst.
async def test_stream_that_lasts_until_the_exit_is_reset(ask, upstreams, shutdown):
    await upstreams.add(STREAM, b"7\r\nid: 1\n\n\r\n", silent=True)
    _stop_in(shutdown, 0.05, 0.4)

    caller = await ask("stream", resumable=True, seconds=5.0)

    assert (caller.body, caller.ending) == (b"id: 1\n\n", "broken")


async def test_deadline_before_the_end_of_a_stop_still_holds(ask, upstreams, shutdown):
    await upstreams.add(silent=True)
    shutdown.begin(_now() + 5.0)

    caller = await ask("unsafe", seconds=0.2)

    assert caller.status == 504
    assert json.loads(caller.body)["code"] == Code.DEADLINE_PASSED


def _event(number):
    return b"7\r\nid: %d\n\n\r\n" % number


# One sleep: many short ones take longer in all, beside load much longer.
def _silence(seconds):
    return [float(seconds)]


LAST_CHUNK = b"0\r\n\r\n"


# Guards against cutting off a sound upstream that pauses for a second and goes on.
async def test_silence_of_a_second_does_not_end_a_resumable_stream(upstreams, ask):
    await upstreams.add(STREAM, _event(1), *_silence(1.3), _event(2), LAST_CHUNK)
    await upstreams.add(STREAM, _event(3), LAST_CHUNK)

    caller = await ask("stream", resumable=True, seconds=6.0)

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert len(upstreams.seen) == 1


# Guards against ending a stream that no other upstream can go on with.
async def test_silent_stream_is_kept_while_no_other_upstream_can_take_over(
    upstreams, ask
):
    await upstreams.add(STREAM, _event(1), *_silence(2.6), _event(2), LAST_CHUNK)

    caller = await ask("stream", resumable=True, seconds=6.0)

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")


class ScriptedRouter:
    """A preparation router with pairs of seconds and answer for each preparation."""

    def __init__(self, outcomes):
        self._outcomes = iter(outcomes)
        self.freed = []

    async def run(self, preparation, context):
        seconds, answer = next(self._outcomes)
        await asyncio.sleep(seconds)
        return answer

    def free(self, context, handles):
        self.freed += handles


STEPS = (Step("prepare", (), 1),)


# Guards against ending a stream for another upstream before it is known whether the
# steps that this one needs can be run again: the caller got half an answer.
async def test_silent_stream_goes_on_if_its_steps_cannot_be_run_again(upstreams, ask):
    await upstreams.add(STREAM, _event(1), *_silence(2.8), _event(2), LAST_CHUNK)
    await upstreams.add(STREAM, _event(3), LAST_CHUNK)
    refused = (0.1, Err(PreparationFailure("no room")))
    router = ScriptedRouter([(0.0, Ok(["h1"])), *[refused] * 5])

    caller = await ask(
        "stream", resumable=True, seconds=6.0, steps=STEPS, router=router
    )

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert len(upstreams.seen) == 1


async def test_silent_stream_moves_on_once_its_steps_have_been_run_again(
    upstreams, ask
):
    await upstreams.add(STREAM, _event(1), silent=True)
    await upstreams.add(STREAM, _event(2), LAST_CHUNK)
    router = ScriptedRouter([(0.0, Ok(["h1"])), (0.3, Ok(["h2"]))])

    caller = await ask(
        "stream", resumable=True, seconds=6.0, steps=STEPS, router=router
    )

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert router.freed == ["h1", "h2"]


# Guards against results that are left at their upstreams when a silent stream goes on
# while its steps are being run again.
async def test_results_are_freed_if_a_silent_stream_goes_on_after_all(upstreams, ask):
    await upstreams.add(STREAM, _event(1), *_silence(2.2), _event(2), LAST_CHUNK)
    await upstreams.add(STREAM, _event(3), LAST_CHUNK)
    router = WaitingRouter()
    first = ScriptedRouter([(0.0, Ok(["h1"]))])
    routers = iter([first, router])

    class Router:
        async def run(self, preparation, context):
            return await next(routers).run(preparation, context)

        def free(self, context, handles):
            first.free(context, handles)

    caller = await ask(
        "stream", resumable=True, seconds=6.0, steps=STEPS, router=Router()
    )

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert (router.cancelled, first.freed) == (1, ["h1"])


# Guards against giving up a slow upstream although there is no other one.
async def test_slow_answer_is_awaited_if_no_other_upstream_can_be_asked(upstreams, ask):
    await upstreams.add(*_silence(0.6), SIGNED)

    caller = await ask("safe")

    assert (caller.status, caller.body) == (200, b"ok")


def _pause():
    """Pause this process for longer than any silence is borne."""
    time.sleep(2.2)
    return b""


# Guards against taking the silence in a pause of the gateway's own process, or of the
# whole machine, for that of the upstream.
async def test_pause_of_the_gateway_does_not_end_a_request(upstreams, ask):
    await upstreams.add(_pause, *_silence(0.1), SIGNED)
    await upstreams.add(FULL)

    caller = await ask("safe", seconds=5.0)

    assert (caller.status, caller.body) == (200, b"ok")
    assert len(upstreams.seen) == 1
    assert upstreams.fleet.state_by_id["u0"].failure_rate == 0


async def test_pause_of_the_gateway_does_not_end_a_stream(upstreams, ask):
    parts = (STREAM, _event(1), _pause, *_silence(0.1), _event(2), LAST_CHUNK)
    await upstreams.add(*parts)
    await upstreams.add(STREAM, _event(3), LAST_CHUNK)

    caller = await ask("stream", resumable=True, seconds=5.0)

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert len(upstreams.seen) == 1


# Guards against waiting for ever for an upstream that is silent after a pause too.
async def test_upstream_that_stays_silent_after_a_pause_is_replaced(upstreams, ask):
    await upstreams.add(_pause, silent=True)
    await upstreams.add(SIGNED)

    caller = await ask("safe", seconds=5.0)

    assert (caller.status, caller.body) == (200, b"ok")
    assert len(upstreams.seen) == 2


# Guards against an error when a silent upstream breaks while another one is being
# prepared for: the caller's stream was reset.
async def test_stream_moves_on_if_its_upstream_breaks_while_steps_run_again(
    upstreams, ask, raw_server
):
    async def break_off(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(STREAM + _event(1))
        await asyncio.sleep(2.4)
        writer.close()

    await upstreams.add_at(await raw_server(break_off))
    await upstreams.add(STREAM, _event(2), LAST_CHUNK)
    router = ScriptedRouter([(0.0, Ok(["h1"])), (1.5, Ok(["h2"])), (0.2, Ok(["h3"]))])

    caller = await ask(
        "stream", resumable=True, seconds=8.0, steps=STEPS, router=router
    )

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert router.freed == ["h1", "h3"]


# The same if the steps take longer than the caller of the stream waits for an event.
async def test_stream_moves_on_if_its_steps_outlast_the_callers_patience(
    upstreams, ask
):
    await upstreams.add(STREAM, _event(1), silent=True)
    await upstreams.add(STREAM, _event(2), LAST_CHUNK)
    router = ScriptedRouter([(0.0, Ok(["h1"])), (2.5, Ok(["h2"])), (0.1, Ok(["h3"]))])

    caller = await ask(
        "stream", resumable=True, seconds=8.0, steps=STEPS, router=router
    )

    assert caller.ending == "whole"


# Guards against streams that are all given up for the one retry that is left.
@pytest.mark.parametrize("steps", [(), STEPS])
async def test_streams_of_a_silent_upstream_share_the_retries_that_are_left(
    upstreams, ask, steps
):
    await upstreams.add(STREAM, _event(1), *_silence(3.0), _event(2), LAST_CHUNK)
    await upstreams.add(STREAM, _event(2), LAST_CHUNK)
    budgets = RetryBudgets(0.2, 1.25, lambda: 1)  # one retry

    def router():
        return ScriptedRouter([(0.0, Ok(["h1"])), *[(0.2, Ok(["h2"]))] * 5])

    callers = await asyncio.gather(
        *(
            ask(
                "stream",
                resumable=True,
                seconds=8.0,
                steps=steps,
                router=router(),
                budgets=budgets,
            )
            for _ in range(3)
        )
    )

    assert [caller.ending for caller in callers] == ["whole"] * 3


# Guards against giving up a sound stream for an upstream that has left meanwhile.
async def test_silent_stream_is_kept_if_the_other_upstream_leaves_meanwhile(
    upstreams, ask
):
    await upstreams.add(STREAM, _event(1), *_silence(3.2), _event(2), LAST_CHUNK)
    await upstreams.add(STREAM, _event(2), LAST_CHUNK)
    router = ScriptedRouter([(0.0, Ok(["h1"])), (0.6, Ok(["h2"]))])
    asyncio.get_running_loop().call_later(2.4, upstreams.fleet.remove, "u1", "gone")

    caller = await ask(
        "stream", resumable=True, seconds=8.0, steps=STEPS, router=router
    )

    assert (caller.body, caller.ending) == (b"id: 1\n\nid: 2\n\n", "whole")
    assert router.freed == ["h1", "h2"]


# Guards against a request that is sent just before the exit, as the stop began while it
# waited for an upstream's limit.
async def test_request_is_not_sent_if_a_stop_began_while_it_waited_for_a_limit(
    upstreams, ask, shutdown
):
    await upstreams.add(silent=True)
    _limit_all(upstreams, 2.0)  # it waits for 0.5 s
    _stop_in(shutdown, 0.1, 0.5)

    caller = await ask("unsafe", attempts=1, seconds=4.0)

    assert (caller.status, upstreams.seen) == (503, [])


# Guards against waiting for a silent upstream until the deadline, though another one
# has come meanwhile.
async def test_upstream_that_comes_later_takes_over_from_a_silent_one(upstreams, ask):
    await upstreams.add(silent=True)

    async def add_later():
        await asyncio.sleep(1.0)
        await upstreams.add(SIGNED)

    task = asyncio.create_task(add_later())
    caller = await ask("safe", seconds=3.0)

    assert (caller.status, task.done()) == (200, True)


# Guards against a caller that reads slowly and so makes a gateway that stops refuse the
# requests of the whole route.
async def test_times_of_a_route_do_not_include_what_its_callers_take_to_read(
    upstreams, ask, route_times, monkeypatch
):
    await upstreams.add(STREAM, _event(1), LAST_CHUNK)

    async def read_slowly(self, data):
        await asyncio.sleep(1.0)
        self.body += data

    monkeypatch.setattr(Caller, "send", read_slowly)
    await ask("stream", resumable=True, seconds=8.0)

    assert route_times.upstream_seconds("r") < 0.5
    assert route_times.request_seconds("r") < 0.5
