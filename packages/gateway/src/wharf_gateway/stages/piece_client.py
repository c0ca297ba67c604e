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

    Responses to these calls carry no request id. Each call that runs pieces or reads a
    report therefore uses a connection of its own, so that a late second response can't
    be taken for that of another call. Calls that drop results share connections, as the
    bodies of their responses aren't used. `record_limit` is called with the limit that
    the answer to a call with pieces names. `answers`, an `AnswerRecorder`, records what
    the answers to all calls say of their upstreams, which get no calls while they want
    none. `record_load` is called with the state and the load that an answer reports.
    """

    def __init__(self, dialect, pool, clock):
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._shared_pool = ConnectionPool(
            max_idle=1, on_unsolicited=pool.on_unsolicited
        )
        self._tasks = set()
        self.answers = None
        self.record_limit = lambda upstream_id, rate, sent_at, now: None
        self.record_load = lambda state, reply, now: None

    async def run(self, upstream, batch, timeout, now):
        """Return the results of a batch of jobs.

        Raises `HttpCallError` if there is no response within `timeout` seconds.
        """
        path, body = self._dialect.piece_call([_with_time(job, now) for job in batch])
        state = self.answers and self.answers.state_of(upstream)
        head, answer = await self._exchange(
            self._pool,
            upstream.address,
            path,
            body,
            self._dialect.expect_fields(upstream.id),
            timeout,
            fresh=True,
            state=state,
        )
        if head is None:
            return Err("full")
        if not self.answers or self.answers.state_of(upstream) is state:
            rate = self._dialect.read_response(head).rate_limit
            self.record_limit(upstream.id, rate, now, self._clock())
        status = head.status
        if status != 200:
            return Err("full" if status in (421, 429, 503) else f"status {status}")
        return self._dialect.read_pieces(answer, len(batch))

    async def free(self, address, handles):
        """Drop results at an upstream; any that remain expire with their lifetime.

        While the upstream wants no requests, they remain.
        """
        state = self.answers and self.answers.state_at(address)
        while state and state.report.is_quiet(self._clock()):
            await asyncio.sleep(state.report.quiet_until - self._clock())
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
                state=state,
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

        None means that it sent no report or none with that number, or that it wants no
        requests.
        """
        state = self.answers and self.answers.state_of(upstream)
        try:
            head, answer = await self._exchange(
                self._pool,
                upstream.address,
                self._dialect.report_path,
                b"",
                (),
                REPORT_TIMEOUT_SECONDS,
                fresh=True,
                method="GET",
                state=state,
            )
        except HttpCallError as error:
            log.info("no_report", upstream=upstream.id, reason=str(error))
            return None
        if head is None or head.status != 200:
            return None
        return self._dialect.read_free_bytes(answer)

    async def _exchange(
        self,
        pool,
        address,
        path,
        body,
        fields,
        seconds,
        fresh,
        method="POST",
        state=None,
    ):
        """Return the head and body of the answer, None for both if nothing was sent.

        Nothing is sent if the upstream wants no requests by now. Dropping results does
        no work, and so goes to one that leaves, too.
        """
        connection = None
        owner = state.report if state else None
        try:
            async with asyncio.timeout(seconds):
                now = self._clock()
                connection = await pool.acquire(address, now, owner, fresh=fresh)
                if owner and not self._takes(owner, path):
                    return None, None
                head = request_head(method, path, address, fields, len(body))
                connection.send(head, body)
                reply = await connection.head()
                if state:
                    self._record(state, path, reply)
                return reply, await connection.body()
        except TimeoutError as error:
            raise HttpCallError(f"no answer within {seconds:.2f} s") from error
        finally:
            if connection and fresh:
                connection.close()
            elif connection:
                pool.release(address, connection, self._clock())

    def _takes(self, report, path):
        now = self._clock()
        if path == self._dialect.free_path:
            return not report.is_quiet(now)
        return report.takes_requests(now)

    def _record(self, state, path, head):
        reply = self._dialect.read_response(head)
        by = f"answer of {path}"
        now = self._clock()
        self.answers.record(state, head.status, reply, by, now)
        if self.answers.state_of(state.upstream) is state:
            self.record_load(state, reply, now)


def _with_time(job, now):
    return replace(job.piece, seconds_left=max(0.001, job.hard_deadline - now))
