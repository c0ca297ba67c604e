"""HTTP client of the platform's store."""

import asyncio

from result import Err, Ok

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.request_head import request_head
from wharf_gateway.store.store_answer import StoreAnswer
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_error import HistoryGone, StoreUnavailable
from wharf_gateway.store.store_page import StorePage

__all__ = ["StoreClient"]

CALL_TIMEOUT_SECONDS = 1.5  # the store usually answers in milliseconds
# Added to a watch's wait for the round trip. A store that is slow answers within it; a
# connection that has gone silent is noticed sooner, by a check (`WatchCheck`).
WATCH_MARGIN_SECONDS = 3.0
HISTORY_GONE = 410


class StoreClient:
    """List, watch and write objects, without retries.

    Errors are returned as values. After `StoreUnavailable` a write may have been done
    or not. `calls` counts the calls. `eras` records the era of each answer; one of an
    earlier era than the newest may tell of what is lost, and is `StoreUnavailable`.
    """

    def __init__(self, address, dialect, pool, clock, eras=None):
        self._address = address
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._eras = eras or StoreEras()
        self.calls = 0

    async def list(self, kind, on_page=lambda page: None):
        """Return all objects of a kind as one page, which may be read as several.

        `on_page(page)` is called with each of these. The position is that of the first,
        since its objects may change while others are read. Pages of different eras are
        `StoreUnavailable`.
        """
        objects, faults, after, position = [], [], None, None
        while True:
            path = self._dialect.list_path(kind, after)
            answer = await self._call("GET", path, b"", CALL_TIMEOUT_SECONDS)
            match answer.and_then(lambda found: self._decode(found, "read_page")):
                case Err() as error:
                    return error
                case Ok(page):
                    position = position or page.position
                    eras = {position.era, page.position.era}
                    if len(eras) > 1:
                        return Err(StoreUnavailable(f"pages of the eras {eras}"))
                    on_page(page)
                    objects.extend(page.objects)
                    faults.extend(page.faults)
                    if not page.has_more or not page.objects:
                        found = tuple(objects), False, position, tuple(faults)
                        return Ok(StorePage(*found))
                    after = page.objects[-1].name

    async def watch(self, kind, revision, wait_seconds):
        """Return the changes of a kind after `revision`.

        There are none if nothing changes within `wait_seconds`.
        """
        path = self._dialect.watch_path(kind, revision, wait_seconds)
        seconds = wait_seconds + WATCH_MARGIN_SECONDS
        answer = await self._call("GET", path, b"", seconds)
        return answer.and_then(lambda found: self._decode(found, "read_changes"))

    async def probe(self, seconds, *, is_stale=True):
        """Return the store's position, by a call that returns hardly any objects.

        With `is_stale` the call costs less, and the position may be an earlier one.
        """
        path = self._dialect.probe_path(is_stale)
        answer = await self._call("GET", path, b"", seconds)
        page = answer.and_then(lambda found: self._decode(found, "read_page"))
        return page.map(lambda found: found.position)

    async def create(self, kind, name, spec):
        """Create an object."""
        path = self._dialect.list_path(kind)
        body = self._dialect.object_body(name, spec)
        return await self._call("POST", path, body, CALL_TIMEOUT_SECONDS)

    async def replace(self, kind, name, spec):
        """Replace an object's contents, whatever its revision."""
        path = self._dialect.object_path(kind, name)
        body = self._dialect.object_body(name, spec)
        return await self._call("PUT", path, body, CALL_TIMEOUT_SECONDS)

    async def replace_at(self, kind, name, spec, revision):
        """Replace an object's contents if its revision is still `revision`."""
        path = self._dialect.object_path(kind, name)
        body = self._dialect.object_body(name, spec, revision)
        return await self._call("PUT", path, body, CALL_TIMEOUT_SECONDS)

    async def delete(self, kind, name):
        """Delete an object, whatever its revision."""
        path = self._dialect.object_path(kind, name)
        return await self._call("DELETE", path, b"", CALL_TIMEOUT_SECONDS)

    async def replace_status(self, kind, name, status, revision, may_send=None):
        """Replace an object's status if its revision is still `revision`.

        Nothing is sent if `may_send()` is false once there is a connection.
        """
        path = self._dialect.object_path(kind, name, "status")
        body = self._dialect.object_body(name, None, revision, status)
        return await self._call("PUT", path, body, CALL_TIMEOUT_SECONDS, may_send)

    def _decode(self, answer, reader):
        read = getattr(self._dialect, reader)
        return read(answer.body, answer.era).map_err(StoreUnavailable)

    async def _call(self, method, path, body, seconds, may_send=None):
        self.calls += 1
        connection = None
        try:
            async with asyncio.timeout(seconds):
                now = self._clock()
                connection = await self._pool.acquire(self._address, now)
                if may_send is not None and not may_send():
                    return Err(StoreUnavailable("not sent"))
                head = request_head(method, path, self._address, (), len(body))
                connection.send(head, body)
                reply = await connection.head()
                era = self._dialect.read_era(reply.headers)
                self._eras.record(era, self._clock())
                data = await connection.body()
        except TimeoutError as error:
            # Idle connections may have gone silent together with this one.
            self._pool.close_idle_to(self._address)
            return Err(StoreUnavailable(repr(error)))
        except HttpCallError as error:
            return Err(StoreUnavailable(repr(error)))
        finally:
            # The pool closes a connection whose response was not read completely.
            if connection:
                self._pool.release(self._address, connection, self._clock())
        if self._eras.is_past(era):
            detail = f"answer of era {era} after one of {self._eras.current}"
            return Err(StoreUnavailable(detail))
        if reply.status == HISTORY_GONE:
            return Err(HistoryGone())
        if reply.status not in (200, 201):
            return Err(StoreUnavailable(f"status {reply.status}", reply.status))
        return Ok(StoreAnswer(era, data))
