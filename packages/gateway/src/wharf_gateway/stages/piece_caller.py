"""Calls upstreams to run pieces and to drop results."""

import asyncio
from collections import defaultdict

from result import Err

from wharf_gateway.http.broken_answer_error import BrokenAnswerError
from wharf_gateway.request_head import request_head

__all__ = ["PieceCaller"]

FREE_DELAY_SECONDS = 0.05  # results that go at about the same time share a call
FREE_SECONDS = 1.0


class PieceCaller:
    """Speak to the upstreams of steps.

    Answers to such calls bear no id, so each goes over a connection of its own: a
    second answer that comes late can't be taken for another call's.
    """

    def __init__(self, dialect, pool, clock):
        self._dialect = dialect
        self._pool = pool
        self._clock = clock
        self._handles_by_address = defaultdict(list)
        self._tasks = set()

    async def run(self, upstream, batch, patience, now):
        """Return the results of a batch of jobs; raises `BrokenAnswerError`."""
        path, body = self._dialect.piece_call([_with_time(job, now) for job in batch])
        status, answer = await self._post(upstream, path, body, patience)
        if status != 200:
            return Err("full" if status in (421, 429, 503) else f"status {status}")
        return self._dialect.read_pieces(answer, len(batch))

    def free_soon(self, *handles):
        """Drop results, together with others of the same upstream."""
        for handle in handles:
            address = self._dialect.maker_of(handle)
            if not self._handles_by_address[address]:
                task = asyncio.ensure_future(self._free(address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            self._handles_by_address[address].append(handle)

    async def _free(self, address):
        await asyncio.sleep(FREE_DELAY_SECONDS)
        handles = self._handles_by_address.pop(address)
        path, body = self._dialect.free_call(handles)
        try:
            await self._exchange(address, path, body, (), FREE_SECONDS)
        except BrokenAnswerError:
            return  # the results end with their lifetime

    async def _post(self, upstream, path, body, seconds):
        fields = self._dialect.expect_fields(upstream.id)
        return await self._exchange(upstream.address, path, body, fields, seconds)

    async def _exchange(self, address, path, body, fields, seconds):
        connection = None
        try:
            async with asyncio.timeout(seconds):
                connection = await self._pool.acquire(
                    address, self._clock(), fresh=True
                )
                head = request_head("POST", path, address, fields, len(body))
                connection.send(head, body, lambda headers: True)
                reply = await connection.head()
                return reply.status, await connection.body()
        except TimeoutError as error:
            raise BrokenAnswerError(f"no answer within {seconds:.2f} s") from error
        finally:
            if connection:
                connection.close()


def _with_time(job, now):
    piece = job.piece
    return type(piece)(
        piece.call_id,
        piece.step,
        piece.index,
        piece.key,
        piece.inputs,
        piece.has_inputs,
        max(0.001, job.useful_until - now),
    )
