"""Answers of the store in order of its eras, on connections that answer as told."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from result import Ok

from wharf_adapter import Dialect, names
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.response_head import ResponseHead
from wharf_gateway.store.store_client import StoreClient
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_kind import StoreKind
from wharf_gateway.store.store_position import StorePosition

KIND = StoreKind.UPSTREAMS


class Pool:
    """Connections that return the given answers: era, status and body."""

    def __init__(self, answers):
        self._answers = list(answers)
        self.paths = []

    async def acquire(self, address, now):
        era, status, document = self._answers.pop(0)
        fields = () if era is None else ((names.STORE_ERA, str(era)),)

        async def head():
            return ResponseHead(status, Headers(fields))

        async def body():
            return json.dumps(document).encode()

        def send(head, body):
            self.paths.append(head.split(b" ")[1].decode())

        return SimpleNamespace(head=head, body=body, send=send)

    def close_idle_to(self, address):
        pass

    def release(self, address, connection, now):
        pass


async def test_answer_without_a_status_tells_nothing(raw_server, eras):
    """A status of 000 was read, and the era beside it taken for the store's."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        fields = b"Store-Era: 9\r\nContent-Length: 2"
        writer.write(b"HTTP/1.1 000 X\r\n%s\r\n\r\n{}" % fields)

    pool = ConnectionPool()
    loop = asyncio.get_running_loop()
    address = await raw_server(handle)
    client = StoreClient(address, Dialect(), pool, loop.time, eras)
    answer = await client.list(KIND)
    pool.close()

    assert answer.is_err()
    assert eras.current != 9


@pytest.fixture
def eras():
    return StoreEras()


@pytest.fixture
def client_of(eras):
    def make(*answers):
        return StoreClient("s", Dialect(), Pool(answers), lambda: 7.0, eras)

    return make


def _page(revision, *objects, has_more=False):
    entries = [{"metadata": {"name": n, "revision": r}} for n, r in objects]
    return {"entries": entries, "hasMore": has_more, "asOf": revision}


@pytest.mark.parametrize("status", [200, 404, 409, 410, 429, 503])
async def test_the_era_of_any_answer_is_recorded(client_of, eras, status):
    client = client_of((3, 200, {}), (4, status, {}))

    await client.probe(1.0)
    await client.replace(KIND, "u", {})

    assert (eras.current, eras.restored_at) == (4, 7.0)


@pytest.mark.parametrize("era", [3, None])
async def test_a_listing_has_a_position_in_its_era(client_of, era):
    page = (await client_of((era, 200, _page(9, ("a", 4)))).list(KIND)).unwrap()

    assert page.position == StorePosition(era, 9)
    assert [stored.name for stored in page.objects] == ["a"]


# Guards against an answer that was delayed and tells of objects that are lost.
@pytest.mark.parametrize("call", ["list", "watch", "probe", "delete"])
async def test_an_answer_of_an_earlier_era_is_not_believed(client_of, eras, call):
    args = {"list": (), "watch": (9, 1.0), "delete": ("u",)}
    client = client_of((3, 200, {"events": [], **_page(9)}))
    eras.record(4, 6.0)

    if call == "probe":
        answer = await client.probe(1.0)
    else:
        answer = await getattr(client, call)(KIND, *args[call])

    assert "3" in answer.unwrap_err().detail
    assert eras.current == 4


# Guards against pages of two histories that are joined to one listing.
@pytest.mark.parametrize("eras_of_pages", [(3, 4), (3, None), (None, 3)])
async def test_pages_of_two_eras_are_no_listing(client_of, eras_of_pages):
    first, second = eras_of_pages
    pages = []
    client = client_of(
        (first, 200, _page(9, ("a", 4), has_more=True)), (second, 200, _page(9))
    )

    answer = await client.list(KIND, pages.append)

    assert "eras" in answer.unwrap_err().detail
    assert len(pages) == 1


async def test_pages_of_one_era_are_one_listing(client_of):
    client = client_of(
        (3, 200, _page(9, ("a", 4), has_more=True)), (3, 200, _page(9, ("b", 5)))
    )

    page = (await client.list(KIND)).unwrap()

    assert [stored.name for stored in page.objects] == ["a", "b"]


# Guards against a change of an object of the first page while the second is read.
async def test_a_listing_has_the_position_of_its_first_page(client_of):
    client = client_of(
        (3, 200, _page(9, ("a", 4), has_more=True)), (3, 200, _page(11, ("b", 5)))
    )

    assert (await client.list(KIND)).unwrap().position == StorePosition(3, 9)


async def test_a_write_returns_the_answer(client_of):
    assert isinstance(await client_of((3, 201, {})).create(KIND, "u", {}), Ok)


# Guards against the late answer of a call that was given up, taken for the next one's.
async def test_late_answer_of_a_call_that_timed_out_is_not_the_next_ones(
    raw_server, eras
):
    revisions, answered = iter((9, 11)), asyncio.Event()

    async def handle(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            revision = next(revisions)
            if revision == 9:
                await answered.wait()
            body = json.dumps(_page(revision)).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)

    clock = asyncio.get_running_loop().time
    address = await raw_server(handle)
    client = StoreClient(address, Dialect(), ConnectionPool(), clock, eras)

    assert (await client.probe(0.2)).is_err()
    answered.set()
    assert (await client.probe(5.0)).unwrap().revision == 11
