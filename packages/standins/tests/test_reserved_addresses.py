"""Reserved addresses are given once, and servers can listen at them."""

import asyncio
import socket

import pytest

from wharf_standins.reserved_addresses import ReservedAddresses
from wharf_standins.soak.loopback_server import LoopbackServer

COUNT = 400  # as many as some 40 tests with three gateways at once


@pytest.fixture
def addresses():
    reserved = ReservedAddresses()
    yield reserved
    reserved.release()


@pytest.fixture
def others():
    reserved = ReservedAddresses()
    yield reserved
    reserved.release()


def _host_and_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


# Ports were drawn by chance: of gateways that start, one exited with status 3.
def test_no_address_is_given_twice(addresses, others):
    taken = {r.take() for r in (addresses, others) for _ in range(COUNT // 2)}
    assert len(taken) == COUNT


def test_address_is_held_until_it_is_released(addresses):
    address = _host_and_port(addresses.take())
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(address)
    addresses.release()
    with socket.socket() as other:
        other.bind(address)


async def test_nothing_answers_unless_a_server_listens(addresses):
    host, port = _host_and_port(addresses.take())
    for _ in range(2):
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, port)
        async with await asyncio.start_server(lambda r, w: w.close(), host, port):
            reader, writer = await asyncio.open_connection(host, port)
            assert await reader.read() == b""
            writer.close()


# An upstream that was down for a second lost its port to an outgoing connection.
async def test_closed_server_keeps_its_address():
    server = LoopbackServer()
    await server.start()
    address = _host_and_port(server.address)
    server.close()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(address)
    assert await server.start() == address[1]
    server.stop()
