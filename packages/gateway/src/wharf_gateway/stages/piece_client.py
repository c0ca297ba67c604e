"""Calls upstreams to run pieces and to drop results."""

import asyncio
from dataclasses import replace

import structlog
from result import Err

from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.request_head import request_head

__all__ = ["PieceClient"]

log = structlog.get_logger(__name__)

FREE_TIMEOUT_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 0.5  # a report usually takes some milliseconds


class PieceClient:
    """HTTP client for the upstreams that run steps.

    Responses to these calls carry no request id. Each call that runs pieces therefore
    uses a connection of its own, so that a late second response can't be taken for
    that of another call. Calls that drop results share connections, as their
    responses aren't used. `record_limit` is called with the limit that the answer to
    a call with pieces names.
    """

    def __init__(self, dialect, pool, clock):
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._shared_pool = ConnectionPool(max_idle=1)
        self._tasks = set()
        self.record_limit = lambda upstream_id, rate, sent_at, now: None

    async def run(self, upstream, batch, timeout, now):
        """Return the results of a batch of jobs.

        Raises `HttpCallError` if there is no response within `timeout` seconds.
        """
        path, body = self._dialect.piece_call([_with_time(job, now) for job in batch])
        head, answer = await self._post(upstream, path, body, timeout)
        rate = self._dialect.read_response(head).rate_limit
        self.record_limit(upstream.id, rate, now, self._clock())
        status = head.status
        if status != 200:
            return Err("full" if status in (421, 429, 503) else f"status {status}")
        return self._dialect.read_pieces(answer, len(batch))

    async def free(self, address, handles):
        """Drop results at an upstream; any that remain expire with their lifetime."""
        path, body = self._dialect.free_call(handles)
        try:
            await self._exchange(
                self._shared_pool,
                address,
                path,
                body,
                (),
                FREE_TIMEOUT_SECONDS,
                fresh=False,
            )
        except HttpCallError as error:
            log.info(
                "results_not_dropped",
                address=address,
                results=len(handles),
                reason=str(error),
            )

    def free_orphaned(self, handles):
        """Drop results whose preparer is gone, in the background."""
        by_address = {}
        for handle in handles:
            by_address.setdefault(self._dialect.result_address(handle), []).append(
                handle
            )
        for address, freed in by_address.items():
            task = asyncio.ensure_future(self.free(address, freed))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def free_bytes(self, upstream):
        """Return the bytes that an upstream has free for results, or None.

        None means that it sent no report or none with that number.
        """
        try:
            head, answer = await self._exchange(
                self._shared_pool,
                upstream.address,
                self._dialect.report_path,
                b"",
                (),
                REPORT_TIMEOUT_SECONDS,
                fresh=False,
                method="GET",
            )
        except HttpCallError as error:
            log.info("no_report", upstream=upstream.id, reason=str(error))
            return None
        return self._dialect.read_free_bytes(answer) if head.status == 200 else None

    async def _post(self, upstream, path, body, seconds):
        fields = self._dialect.expect_fields(upstream.id)
        return await self._exchange(
            self._pool, upstream.address, path, body, fields, seconds, fresh=True
        )

    async def _exchange(
        self, pool, address, path, body, fields, seconds, fresh, method="POST"
    ):
        connection = None
        try:
            async with asyncio.timeout(seconds):
                connection = await pool.acquire(address, self._clock(), fresh=fresh)
                head = request_head(method, path, address, fields, len(body))
                connection.send(head, body, lambda headers: True)
                reply = await connection.head()
                return reply, await connection.body()
        except TimeoutError as error:
            raise HttpCallError(f"no answer within {seconds:.2f} s") from error
        finally:
            if connection and fresh:
                connection.close()
            elif connection:
                pool.release(address, connection, self._clock())


def _with_time(job, now):
    return replace(job.piece, seconds_left=max(0.001, job.hard_deadline - now))
