"""Upstreams that run pieces, in virtual time."""

import asyncio
from collections import Counter

from result import Ok

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.model.piece_result import PieceResult

__all__ = ["EmulatedCaller"]

ROUND_TRIP_SECONDS = 0.004


class EmulatedCaller:
    """Stand in for `PieceClient`: calls take time, and results take room.

    It counts calls, pieces, busy seconds and the bytes that cross data centres.
    """

    def __init__(self, pattern, centre_by_address, service_by_address, clock):
        self._pattern = pattern
        self._centre_by_address = centre_by_address
        self._service_by_address = service_by_address
        self._clock = clock
        self._lock_by_address = {}
        self._used_by_address = Counter()
        self._size_by_handle = {}
        self._numbers = Counter()
        self.calls = Counter()
        self.pieces = Counter()
        self.busy = Counter()
        self.without_room = 0
        self.crossed_bytes = 0
        self.away = set()
        self.work_by_step = {}

    async def run(self, upstream, batch, patience, now):
        """Return the results of a batch after the time that it takes."""
        address = upstream.address
        if address in self.away:
            raise HttpCallError(f"{address} is away", was_sent=False)
        lock = self._lock_by_address.setdefault(address, asyncio.Lock())
        async with lock:
            seconds = self._seconds(upstream, batch)
            taken = [self._take_room(upstream, job) for job in batch]
            lacking = [self._lacks_inputs(job) for job in batch]
            await asyncio.sleep(seconds + ROUND_TRIP_SECONDS)
        if address in self.away:
            raise HttpCallError(f"{address} went away")
        self.calls[upstream.service] += 1
        self.pieces[upstream.service] += len(batch)
        self.busy[upstream.service] += seconds
        fates = zip(batch, taken, lacking, strict=True)
        return Ok([self._result(upstream, *fate) for fate in fates])

    async def free_bytes(self, upstream):
        """Return the room that is left."""
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        batching = self._pattern.batching_by_service[upstream.service]
        return batching.result_capacity - self._used_by_address[upstream.address]

    async def free(self, address, handles):
        """Drop results."""
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        for handle in handles:
            self._drop(address, handle)

    def _drop(self, address, handle):
        self._used_by_address[address] -= self._size_by_handle.pop(handle, 0)

    def _seconds(self, upstream, batch):
        batching = self._pattern.batching_by_service[upstream.service]
        work = sum(self.work_by_step.get(_step_key(job), 1.0) for job in batch)
        return batching.call_seconds + batching.piece_seconds * work

    def _take_room(self, upstream, job):
        batching = self._pattern.batching_by_service[upstream.service]
        used = self._used_by_address[upstream.address]
        for handle in job.piece.inputs:
            maker = handle.partition("/")[0]
            if self._centre_by_address[maker] != upstream.data_centre:
                self.crossed_bytes += self._size_by_handle.get(handle, 0)
        if used + job.result_bytes > batching.result_capacity:
            self.without_room += 1
            return False
        self._used_by_address[upstream.address] += job.result_bytes
        return True

    def _lacks_inputs(self, job):
        return any(handle not in self._size_by_handle for handle in job.piece.inputs)

    def _result(self, upstream, job, has_room, lacks_inputs):
        if lacks_inputs:
            return PieceResult(reason="gone")
        if not has_room:
            return PieceResult(reason="room")
        address = upstream.address
        self._numbers[address] += 1
        handle = f"{address}/{self._numbers[address]}"
        self._size_by_handle[handle] = job.result_bytes
        batching = self._pattern.batching_by_service[upstream.service]
        loop = asyncio.get_running_loop()
        loop.call_later(batching.result_lifetime, self._drop, address, handle)
        return PieceResult(handle)


def _step_key(job):
    return (job.piece.key, job.piece.step)
