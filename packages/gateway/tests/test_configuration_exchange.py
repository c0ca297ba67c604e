"""Gateways that start beside a restored store ask their peers for the configuration."""

import asyncio
import json
from random import Random

import cbor2
import pytest

from wharf_adapter import Dialect
from wharf_gateway.fleet import Fleet
from wharf_gateway.peers import configuration_exchange as module
from wharf_gateway.peers.codec import MAX_FRAME_BYTES, decode, encode
from wharf_gateway.peers.configuration_exchange import (
    ANSWER_SECONDS,
    ASK_DELAY_SECONDS,
    START_ASK_DELAY_SECONDS,
    START_SECONDS,
    ConfigurationExchange,
)
from wharf_gateway.peers.messages import (
    MAX_PART_BYTES,
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    Greeting,
)
from wharf_gateway.peers.peer_link import PeerLink
from wharf_gateway.store.stored_object import StoredObject


def _spec(version, keys=("k1",), routes=1):
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{number}",
                "hostname": "h",
                "pathPrefix": f"/{number}/",
                "routeKind": "safe",
                "timeoutMs": 1000,
                "service": "s",
            }
            for number in range(routes)
        ],
        "services": [{"name": "s"}],
        "tenants": [{"name": "t", "apiKeys": list(keys)}],
    }


class Socket:
    """One end of a connection in memory, which records what it receives."""

    def __init__(self):
        self.inbox = asyncio.Queue()
        self.received = []
        self.other = None
        self.is_silent = False

    def __aiter__(self):
        return self

    async def __anext__(self):
        frame = await self.inbox.get()
        self.received.append(decode(frame).unwrap())
        return frame

    async def send(self, frame):
        assert len(frame) <= MAX_FRAME_BYTES
        if not self.is_silent:
            self.other.inbox.put_nowait(frame)


class Gateway:
    """A gateway with its configuration and its links."""

    def __init__(self, name, world):
        self.name = name
        self.fleet = Fleet(Dialect())
        self.exchange = ConfigurationExchange(
            self.fleet, self, lambda: world.now, Random(name)
        )
        self.links = []
        self.sockets = []

    def post_all(self, message):
        for link in self.links:
            link.post(message)

    def read(self, spec, now=0.0):
        """Apply what the store shows."""
        stored = StoredObject("main", 1, spec)
        self.fleet.apply_configurations([stored], now)

    @property
    def version(self):
        configuration = self.fleet.configuration
        return configuration and configuration.version

    def received(self, kind):
        return [m for s in self.sockets for m in s.received if isinstance(m, kind)]


class World:
    """Gateways that are linked to each other in memory."""

    def __init__(self):
        self.now = 0.0
        self.gateways = []
        self.tasks = []

    def start(self, name, spec=None):
        gateway = Gateway(name, self)
        if spec is not None:
            gateway.read(spec)
        for other in self.gateways:
            ends = Socket(), Socket()
            ends[0].other, ends[1].other = ends[1], ends[0]
            for owner, peer, socket in zip(
                (gateway, other), (other, gateway), ends, strict=True
            ):
                self._link(owner, peer, socket)
        self.gateways.append(gateway)
        for each in self.gateways:
            each.fleet.gateway_count = len(self.gateways)
        return gateway

    def _link(self, owner, peer, socket):
        link = PeerLink(
            socket, None, None, lambda: self.now, configurations=owner.exchange
        )
        owner.links.append(link)
        owner.sockets.append(socket)
        greeting = Greeting(owner.name, "dc")
        self.tasks.append(asyncio.create_task(link.run(greeting, owner.exchange.greet)))

    async def advance(self, seconds):
        for _ in range(round(seconds * 10)):
            await self._settle()
            self.now += 0.1
            for gateway in self.gateways:
                gateway.exchange.advance(self.now)
            await self._settle()

    async def _settle(self):
        for _ in range(200):
            await asyncio.sleep(0)


@pytest.fixture
async def world():
    world = World()
    for name in "abc":
        world.start(name, _spec(7, keys=("k2",)))
    await world.advance(6.0)
    yield world
    for task in world.tasks:
        task.cancel()


# Guards against an older configuration in force after a restoration of the store.
async def test_older_configuration_of_the_copy_changes_nothing(world):
    for gateway in world.gateways:
        gateway.read(_spec(5))

    assert [gateway.version for gateway in world.gateways] == [7] * 3


# Guards against keys that were revoked since the copy and are let in by a new process.
async def test_gateway_that_reads_an_older_configuration_asks_its_peers(world):
    fresh = world.start("d", _spec(5, keys=("k1", "k2")))
    assert "k1" in fresh.fleet.configuration.customer_by_key
    await world.advance(2 * START_ASK_DELAY_SECONDS)

    assert fresh.version == 7
    assert list(fresh.fleet.configuration.customer_by_key) == ["k2"]


async def test_gateway_without_a_configuration_asks_one_peer(world):
    fresh = world.start("d")
    await world.advance(2 * START_ASK_DELAY_SECONDS)

    assert fresh.version == 7
    assert len(fresh.received(ConfigurationPart)) == 1


# Guards against a large configuration that no frame can hold.
async def test_large_configuration_is_handed_on_in_parts(world):
    large = _spec(8, routes=8000)
    for gateway in world.gateways:
        gateway.read(large)
    fresh = world.start("d", _spec(5))
    await world.advance(2 * START_ASK_DELAY_SECONDS)

    parts = fresh.received(ConfigurationPart)
    assert sum(len(part.data) for part in parts) > 4 * MAX_PART_BYTES
    assert fresh.fleet.configuration == world.gateways[0].fleet.configuration


async def test_configuration_that_is_too_large_is_not_handed_on(world, monkeypatch):
    monkeypatch.setattr(module, "MAX_PARTS", 1)
    for gateway in world.gateways:
        gateway.read(_spec(8, routes=8000))
    fresh = world.start("d", _spec(5))
    await world.advance(5.0)

    assert fresh.version == 5
    assert fresh.received(ConfigurationPart) == []


async def test_another_peer_is_asked_if_the_first_is_silent(world):
    fresh = world.start("d", _spec(5))
    await world._settle()
    for gateway in world.gateways:
        gateway.sockets[-1].is_silent = True
    await world.advance(2 * START_ASK_DELAY_SECONDS)
    assert fresh.version == 5
    [asked] = [g for g in world.gateways if g.received(ConfigurationRequest)]
    for gateway in world.gateways:
        gateway.sockets[-1].is_silent = gateway is asked
    await world.advance(ANSWER_SECONDS + 0.1)

    assert fresh.version == 7
    assert len(asked.received(ConfigurationRequest)) == 1


# Guards against a document that no reader has checked.
async def test_invalid_configuration_of_a_peer_is_rejected(world):
    fresh = world.start("d", _spec(5))
    for gateway in world.gateways:
        gateway.fleet.configuration_object = StoredObject("main", 1, {})
    await world.advance(5 * START_ASK_DELAY_SECONDS)
    assert len(fresh.received(ConfigurationPart)) == 3
    assert fresh.version == 5

    world.gateways[2].read(_spec(8))
    await world.advance(5 * START_ASK_DELAY_SECONDS)
    assert len(fresh.received(ConfigurationPart)) == 4
    assert fresh.version == 8


async def test_parts_that_nobody_asked_for_are_ignored(world):
    gateway = world.gateways[0]
    world.gateways[1].links[0].post(ConfigurationPart("main", 0, 1, b"{}"))
    gateway.exchange.handle_part(
        ConfigurationPart("main", 0, 1, b"{}"), gateway.links[0], world.now
    )
    await world.advance(0.2)

    assert gateway.version == 7


# Guards against a claim that nobody can honour and that hides the newest version.
async def test_a_claim_of_a_version_that_its_peer_lacks_hides_no_other(world):
    a, b, c = world.gateways
    b.links[0].post(ConfigurationNotice(10**9))
    await world._settle()
    c.read(_spec(8))
    await world.advance(2.0)

    assert a.version == 8
    assert [m.version for m in b.received(ConfigurationRequest)] == [10**9]


# Guards against a silent peer whose large claim is asked for again and again alone.
async def test_a_silent_peer_with_the_largest_claim_hides_no_other(world):
    a, b, c = world.gateways
    b.links[0].post(ConfigurationNotice(10**9))
    await world._settle()
    b.sockets[0].is_silent = True
    c.read(_spec(8))
    await world.advance(ASK_DELAY_SECONDS + ANSWER_SECONDS + 0.3)
    assert a.version == 8

    await world.advance(60.0)
    assert 4 <= len(b.received(ConfigurationRequest)) <= 15


# Guards against a version that is forgotten as its peer knew of a later one and ended.
async def test_a_version_below_that_of_a_peer_that_ends_is_asked_for(world):
    a, b, c = world.gateways
    b.links[0].post(ConfigurationNotice(9))
    await world._settle()
    c.read(_spec(8))
    await world.advance(0.1)
    a.links[0]._end()
    await world.advance(1.0)

    assert a.version == 8


# Guards against an answer that is dropped as it was late, and never asked for again.
async def test_a_late_answer_is_applied(world):
    a, b, c = world.gateways
    asked = []
    b.read(_spec(8, routes=8000))
    b.exchange.handle_request = lambda *request: asked.append(request)
    await world.advance(ASK_DELAY_SECONDS + ANSWER_SECONDS + 0.5)
    assert {gateway.version for gateway in (a, c)} == {7}
    for request in asked:
        ConfigurationExchange.handle_request(b.exchange, *request)
    await world._settle()

    assert [gateway.version for gateway in world.gateways] == [8] * 3


# Guards against a lost answer after which the only peer isn't asked again.
async def test_a_peer_whose_answer_was_lost_is_asked_again(world):
    a, b, c = world.gateways
    b.read(_spec(8))
    await world.advance(0.2)
    for socket in b.sockets:
        socket.is_silent = True
    await world.advance(5.0)
    assert [a.version, c.version] == [7, 7]
    for socket in b.sockets:
        socket.is_silent = False
    await world.advance(10.0)

    assert [gateway.version for gateway in world.gateways] == [8] * 3


# Guards against a valid claim that ends as the answer is of the version before it.
async def test_a_version_that_follows_during_an_answer_is_asked_for(world):
    a, b, _ = world.gateways
    claim = b.links[0]
    claim.post(ConfigurationNotice(8))
    b.exchange.handle_request = lambda *request: None
    await world.advance(ASK_DELAY_SECONDS + 0.1)
    claim.post(ConfigurationNotice(9))
    document = json.dumps(_spec(8)).encode()
    claim.post(ConfigurationPart("main", 0, 1, document))
    await world.advance(0.2)

    assert a.version == 8
    assert [m.version for m in b.received(ConfigurationRequest)] == [8, 9]


# Guards against needless requests for each change while a silent peer claims more.
async def test_a_change_that_all_read_is_not_asked_for_beside_a_silent_peer(world):
    a, b, c = world.gateways
    b.links[0].post(ConfigurationNotice(10**9))
    await world._settle()
    b.sockets[0].is_silent = True
    await world.advance(5.0)
    c.read(_spec(8))
    await world.advance(ASK_DELAY_SECONDS - 0.2)
    for gateway in world.gateways:
        gateway.read(_spec(8))
    await world.advance(2.0)

    assert c.received(ConfigurationRequest) == []


# Guards against one gateway that serves all others as it was the first to tell.
async def test_requests_of_many_gateways_go_to_several():
    world = World()
    for number in range(20):
        world.start(f"g{number}", _spec(7))
    await world.advance(6.0)
    first, *others = world.gateways
    first.read(_spec(8))
    await world.advance(0.2)
    for gateway in others[:5]:
        gateway.read(_spec(8))
    await world.advance(2.0)

    assert {gateway.version for gateway in world.gateways} == {8}
    counts = [len(g.received(ConfigurationRequest)) for g in world.gateways]
    assert sum(counts) == 14
    assert max(counts) <= 4
    for task in world.tasks:
        task.cancel()


# Guards against memory and bandwidth for answers to requests that are repeated.
async def test_a_repeated_request_is_ignored_during_the_answer(world):
    large = _spec(8, routes=8000)
    for gateway in world.gateways:
        gateway.read(large)
    await world.advance(1.0)
    a, b, _ = world.gateways
    before = b.links[0].is_transferring, len(a.received(ConfigurationPart))
    assert before == (False, 0)
    for _ in range(300):
        b.exchange.handle_request(ConfigurationRequest(8), b.links[0])
    assert b.links[0].is_transferring
    await world._settle()
    parts = a.received(ConfigurationPart)
    assert len(parts) == parts[0].count

    assert not b.links[0].is_transferring
    b.exchange.handle_request(ConfigurationRequest(8), b.links[0])
    await world._settle()
    assert len(a.received(ConfigurationPart)) == 2 * len(parts)


# Guards against the time of a large document's encoding for each peer that asks.
async def test_a_configuration_is_encoded_once_for_all_peers(world, monkeypatch):
    encoded = []
    dumps = json.dumps
    monkeypatch.setattr(
        module.json, "dumps", lambda *a, **k: encoded.append(a) or dumps(*a, **k)
    )
    a = world.gateways[0]
    for link in a.links:
        a.exchange.handle_request(ConfigurationRequest(7), link)
    await world._settle()
    assert len(encoded) == 1

    a.read(_spec(8))
    a.exchange.handle_request(ConfigurationRequest(8), a.links[0])
    assert len(encoded) == 2


# Guards against a request of every gateway for each change of the configuration.
async def test_a_change_that_all_read_from_the_store_is_not_asked_for(world):
    world.gateways[0].read(_spec(8))
    await world.advance(ASK_DELAY_SECONDS - 0.2)
    for gateway in world.gateways:
        gateway.read(_spec(8))
    await world.advance(2.0)

    assert world.gateways[1].received(ConfigurationNotice)[-1].version == 8
    assert world.gateways[0].received(ConfigurationRequest) == []


async def test_a_change_that_the_store_does_not_show_is_asked_for(world):
    assert world.now > START_SECONDS
    world.gateways[0].read(_spec(8))
    await world.advance(ASK_DELAY_SECONDS + 0.3)

    assert [gateway.version for gateway in world.gateways] == [8] * 3


@pytest.mark.parametrize(
    "message",
    [
        {"kind": "configuration", "version": "x"},
        {"kind": "configuration", "version": 1.5},
        {"kind": "configuration part", "name": "main", "index": 40, "count": 1},
        {"kind": "configuration part", "name": "main", "index": 0, "count": 40},
        {"kind": "configuration part", "name": "", "index": 0, "count": 1},
    ],
)
def test_messages_with_invalid_values_are_rejected(message):
    assert decode(cbor2.dumps({"data": b"", **message})).is_err()


def test_parts_that_are_too_large_are_rejected():
    part = ConfigurationPart("main", 0, 1, b"x" * MAX_PART_BYTES)
    frame = encode(part)
    assert decode(frame).unwrap() == part

    larger = cbor2.loads(frame) | {"data": b"x" * (MAX_PART_BYTES + 1)}
    assert decode(cbor2.dumps(larger)).is_err()
