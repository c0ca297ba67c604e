"""Gateways share what they know of crashes, and agree on what is in quarantine."""

import asyncio

import cbor2
import pytest

from wharf_coordination.code import Code
from wharf_coordination.quarantine import CrashSuspect
from wharf_gateway.crash_guard import CrashGuard
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.model.prompt_part import PromptPart
from wharf_gateway.model.request_details import RequestDetails
from wharf_gateway.model.route import Route
from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.model.target import Target
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.peers.codec import decode, encode
from wharf_gateway.peers.messages import (
    AnsweredNotice,
    CrashNotice,
    QuarantineNotice,
)
from wharf_gateway.request_context import RequestContext
from wharf_gateway.request_features import all_features
from wharf_gateway.settling_answers import SETTLE_SECONDS
from wharf_gateway.telemetry.meter import Meter

ROUTE = Route("r", "h", "/", RouteKind.STREAM, 5.0, 1.0, 0, (Target("s"),), 2)


class Pool:
    """A pool to which every upstream is gone, or answers."""

    def __init__(self):
        self.is_gone = True

    async def is_refused(self, address):
        return self.is_gone


class Peers:
    """Links to the other gateways; candidates have links to all, others to these."""

    def __init__(self, name, guard_by_name, candidates, clock):
        self._name = name
        self._guard_by_name = guard_by_name
        self._candidates = candidates
        self._clock = clock
        self.sent = []

    @property
    def is_candidate(self):
        return self._name in self._candidates

    def is_repeater(self, now):
        return self.is_candidate

    def post_all(self, message):
        for name in self._guard_by_name:
            is_linked = self.is_candidate or name in self._candidates
            if name != self._name and is_linked:
                self._deliver(name, message)

    def _deliver(self, name, message):
        self.sent.append(message)
        now, received = self._clock(), decode(encode(message)).unwrap()
        guard = self._guard_by_name[name]
        match received:
            case CrashNotice():
                guard.handle_crash(received, now)
            case QuarantineNotice():
                guard.handle_quarantine(received, Link(self, self._name), now)
            case AnsweredNotice():
                guard.handle_answered(received, now)


class Link:
    """The receiver's link back to the sender of a message."""

    def __init__(self, peers, sender):
        self._peers = peers
        self._sender = sender

    def post(self, message):
        self._peers._deliver(self._sender, message)


class Group:
    """Some gateways, of which the first two are candidates."""

    def __init__(self, count):
        self.now = 100.0
        self.pool = Pool()
        self.guard_by_name, self.peers_by_name = {}, {}
        for number in range(count):
            self.add(f"g{number}")

    def add(self, name):
        peers = Peers(name, self.guard_by_name, ("g0", "g1"), lambda: self.now)
        guard = CrashGuard(name, self.pool, peers, lambda: self.now, Meter())
        self.guard_by_name[name], self.peers_by_name[name] = guard, peers

    def refusals(self, context):
        return [g.refusal(context, self.now) for g in self.guard_by_name.values()]

    async def crash(self, name, upstream_id, context):
        """Let an upstream of a gateway crash while it begins to answer a request."""
        context.response_began = True
        self.guard_by_name[name].record_loss(context, _upstream(upstream_id), self.now)
        await self.settle()

    async def settle(self):
        """Wait until all gateways have told what they know, and a second more."""
        guards = self.guard_by_name.values()
        while tasks := [task for guard in guards for task in guard._tasks]:
            await asyncio.wait(tasks)
        self.now += 1.0

    def answer(self, name, context, upstream_id="u0"):
        """Let a gateway get a whole answer from an upstream that goes on."""
        guard = self.guard_by_name[name]
        guard.record_answered(context, _upstream(upstream_id), self.now)
        self.now += SETTLE_SECONDS
        guard.advance(self.now)


def _upstream(upstream_id):
    return Upstream(upstream_id, "s", "a:1", "dc", "v", 1, False, 1)


@pytest.fixture
def group():
    return Group(6)


@pytest.fixture
def ask():
    def make(name, *parts):
        prompt = tuple(PromptPart(part, 10) for part in (*parts, f"own-{name}"))
        inbound = InboundRequest("POST", "/", Headers(()), 0.0)
        details = RequestDetails(name, prompt=prompt)
        return RequestContext(inbound, ROUTE, details, None, False, 1.0, 5.0)

    return make


async def test_what_two_gateways_saw_blocks_at_all(group, ask):
    await group.crash("g3", "u1", ask("r1", "system", "deadly"))
    assert group.refusals(ask("r2", "system", "deadly")) == [None] * 6
    await group.crash("g4", "u2", ask("r2", "system", "deadly"))

    refusals = group.refusals(ask("r3", "system", "deadly"))

    assert {(r.status, r.code) for r in refusals} == {(503, Code.REQUEST_CONDEMNED)}
    assert all(r.retry_after > 20 for r in refusals)
    assert group.refusals(ask("r4", "system", "other")) == [None] * 6


async def test_request_that_may_have_run_is_not_called_not_run(group, ask):
    await group.crash("g3", "u1", ask("r1", "deadly"))
    await group.crash("g4", "u2", ask("r2", "deadly"))
    context = ask("r3", "deadly")
    context.may_have_run = True

    assert group.guard_by_name["g0"].refusal(context, group.now).status == 502


async def test_lost_connection_is_no_crash_if_the_upstream_still_listens(group, ask):
    group.pool.is_gone = False
    for number in range(4):
        await group.crash("g0", f"u{number}", ask(f"r{number}", "part"))

    assert group.refusals(ask("r9", "part")) == [None] * 6


async def test_gateway_with_an_earlier_answer_objects(group, ask):
    """The part was new to those that saw the crashes, not to another."""
    group.answer("g5", ask("r0", "common"))
    group.now += 1.0
    await group.crash("g3", "u1", ask("r1", "common"))
    await group.crash("g4", "u2", ask("r2", "common"))

    assert group.refusals(ask("r3", "common")) == [None] * 6


async def test_equal_requests_that_another_gateway_answered_are_not_blocked(group, ask):
    """It had not heard of the crash, so that it had not remembered its answers."""
    await group.crash("g3", "u1", ask("same", "part"))
    group.answer("g5", ask("same", "part"))
    group.now += 1.0
    await group.crash("g4", "u2", ask("same", "part"))

    assert group.refusals(ask("same", "part")) == [None] * 6


async def test_answer_on_probation_lifts_the_quarantine_at_all(group, ask):
    await group.crash("g3", "u1", ask("r1", "part"))
    await group.crash("g4", "u2", ask("r2", "part"))
    context = ask("r3", "part")
    group.now += 61.0
    assert group.refusals(context) == [None] * 6

    group.answer("g5", context)

    assert [guard.dump(group.now) for guard in group.guard_by_name.values()] == [{}] * 6


async def test_crash_on_probation_blocks_again_at_all(group, ask):
    await group.crash("g3", "u1", ask("r1", "part"))
    await group.crash("g4", "u2", ask("r2", "part"))
    group.now += 61.0
    await group.crash("g5", "u3", ask("r3", "part"))

    assert None not in group.refusals(ask("r4", "part"))


async def test_gateway_that_starts_later_is_told(group, ask):
    await group.crash("g3", "u1", ask("r1", "part"))
    await group.crash("g4", "u2", ask("r2", "part"))
    group.add("g6")
    assert group.guard_by_name["g6"].refusal(ask("r3", "part"), group.now) is None

    for guard in group.guard_by_name.values():
        guard.advance(group.now)

    assert group.guard_by_name["g6"].refusal(ask("r3", "part"), group.now)


async def test_waiting_preparation_ends_once_its_request_is_blocked(group, ask):
    waiting = ask("r9", "deadly")
    guard = group.guard_by_name["g2"]
    loop = asyncio.get_running_loop()

    async def prepare():
        async with asyncio.timeout(None) as scope:
            with guard.interrupting(waiting, scope):
                await asyncio.sleep(3600)

    group.now = loop.time()
    task = asyncio.create_task(prepare())
    await group.crash("g3", "u1", ask("r1", "deadly"))
    assert not task.done()
    await group.crash("g4", "u2", ask("r2", "deadly"))

    with pytest.raises(TimeoutError):
        await asyncio.wait_for(task, 1.0)


async def test_many_quarantines_are_repeated_by_turns(group, ask):
    """All of them at once would be more than a gateway may spend on control."""
    guard = group.guard_by_name["g0"]
    for number in range(100):
        upstream = f"u{number}"
        await group.crash("g0", upstream, ask(f"r{number}", "part"))
        await group.crash("g0", f"{upstream}-again", ask(f"r{number}", "part"))
    peers = group.peers_by_name["g0"]
    total, sizes = len(guard.entries(group.now)), []
    for _ in range(3):
        group.now += 1.1
        peers.sent.clear()
        guard.advance(group.now)
        sizes.append(len(peers.sent[0].items))

    assert max(sizes) <= 64
    assert sum(sizes[:2]) >= min(total, 100)


async def test_messages_stay_few(group, ask):
    """Only gateways with a request on the crashed upstream report, once each."""
    for number in range(5):
        group.guard_by_name["g3"].record_loss(
            ask(f"r{number}", "part"), _upstream("u1"), group.now
        )
    await group.settle()

    sent = [message for peers in group.peers_by_name.values() for message in peers.sent]
    assert [type(message) for message in sent] == [CrashNotice] * 2


async def test_answer_whose_upstream_crashes_right_behind_it_is_evidence(group, ask):
    """A crash behind the last byte of an answer cleared the part that caused it."""
    for number in range(4):
        group.answer("g4", ask(f"w{number}", "sound"), "u9")
        upstream, sound = _upstream(f"u{number}"), ask(f"s{number}", "sound")
        sound.response_began, sound.response_latency = True, 0.1
        guard = group.guard_by_name["g0"]
        guard.record_answered(ask(f"d{number}", "deadly"), upstream, group.now)
        group.now += SETTLE_SECONDS / 2
        group.guard_by_name["g4"].record_loss(sound, upstream, group.now)
        await group.settle()
    for guard in group.guard_by_name.values():
        guard.advance(group.now)

    assert None not in group.refusals(ask("d9", "deadly"))
    assert group.refusals(ask("s9", "sound")) == [None] * 6


@pytest.mark.parametrize("is_gone", [True, False])
async def test_answer_that_ends_with_its_connection_may_have_been_cut(
    group, ask, is_gone
):
    """A crash that closes its connections in order passed for the end of an answer."""
    for number in range(4):
        await group.crash("g3", f"a{number}", ask(f"x{number}", "other"))
        group.pool.is_gone = is_gone
        context = ask(f"r{number}", "part")
        context.response_began = True
        upstream = _upstream(f"u{number}")
        group.guard_by_name["g3"].record_ended(context, upstream, group.now)
        await group.settle()
        group.pool.is_gone = True

    is_blocked = None not in group.refusals(ask("r9", "part"))
    assert is_blocked is is_gone


async def test_conclusion_waits_for_the_reports_of_all_gateways(group, ask):
    """One gateway alone reports more crashes of a sound part than of the cause."""
    group.answer("g0", ask("w", "sound"))
    guard = group.guard_by_name["g0"]
    for number in range(4):
        for part in ("sound", "deadly"):
            *features, own = all_features("s", ask(f"{part}{number}", part))
            suspect = CrashSuspect(own, tuple(features), served=True)
            notice = CrashNotice(f"u{number}/1", 0.0, (suspect,))
            guard.handle_crash(notice, group.now)
            for _ in range(5):
                await asyncio.sleep(0)
        await group.settle()

    assert guard.refusal(ask("d9", "deadly"), group.now)
    assert guard.refusal(ask("s9", "sound"), group.now) is None


async def test_earlier_versions_word_of_an_answer_that_began_clears_nothing(group, ask):
    """Gateways of earlier versions tell of an answer at its first event."""
    await group.crash("g3", "u1", ask("r1", "deadly"))
    await group.crash("g4", "u2", ask("r2", "deadly"))
    guard = group.guard_by_name["g0"]
    features = guard.dump(group.now)

    for feature in features:
        notice = {"kind": "answered", "feature": feature, "seconds_ago": 0.0}
        guard.handle_answered(decode(cbor2.dumps(notice)).unwrap(), group.now)

    assert features
    assert guard.dump(group.now).keys() == features.keys()


def test_largest_notices_fit_into_a_frame():
    features = tuple(f"{n:032x}" for n in range(32))
    suspects = tuple(CrashSuspect(f"{n:032x}", features) for n in range(64))
    frame = encode(CrashNotice("u" * 100, 0.1, suspects))

    assert len(frame) < 1 << 18
