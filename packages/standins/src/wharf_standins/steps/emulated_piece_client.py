"""Emulation of upstreams that run pieces, in virtual time."""

import asyncio
from collections import Counter

from result import Err, Ok

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.model.piece_result import PieceResult

__all__ = ["EmulatedPieceClient"]

ROUND_TRIP_SECONDS = 0.004


class EmulatedPieceClient:
    """Replace `PieceClient`: calls take time and results occupy space.

    Upstreams whose addresses are in `unavailable` fail all calls. `calls`, `pieces`
    and `busy` (seconds) are counted by service; `out_of_space` counts the pieces
    rejected for lack of space, `full` the calls that found as many calls at their
    upstream as it takes, `unused` the results that expired, `cross_centre_bytes` the
    bytes of inputs that come from another data centre.
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
        self.out_of_space = 0
        self.full = 0
        self.unused = 0
        self._calls_by_address = Counter()
        self.cross_centre_bytes = 0
        self.unavailable = set()
        self.work_by_step = {}

    async def run(self, upstream, batch, timeout, now):
        """Run a batch and return the result of each piece.

        Raises `HttpCallError` if the upstream is or becomes unavailable.
        """
        address = upstream.address
        if address in self.unavailable:
            raise HttpCallError(f"{address} is unavailable", was_sent=False)
        batching = self._pattern.batching_by_service[upstream.service]
        most = batching.concurrency + batching.queue_size
        if self._calls_by_address[address] >= most:
            self.full += 1
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            return Err("full")
        self._calls_by_address[address] += 1
        lock = self._lock_by_address.setdefault(address, asyncio.Lock())
        try:
            async with lock:
                seconds = self._call_seconds(upstream, batch)
                reserved = [self._reserve_space(upstream, job) for job in batch]
                missing = [self._misses_inputs(job) for job in batch]
                await asyncio.sleep(seconds + ROUND_TRIP_SECONDS)
        finally:
            self._calls_by_address[address] -= 1
        if address in self.unavailable:
            raise HttpCallError(f"{address} became unavailable")
        self.calls[upstream.service] += 1
        self.pieces[upstream.service] += len(batch)
        self.busy[upstream.service] += seconds
        outcomes = zip(batch, reserved, missing, strict=True)
        return Ok([self._result(upstream, *outcome) for outcome in outcomes])

    async def free_bytes(self, upstream):
        """Return the bytes left for results at the upstream."""
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        batching = self._pattern.batching_by_service[upstream.service]
        return batching.result_capacity - self._used_by_address[upstream.address]

    async def free(self, address, handles):
        """Discard results."""
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        for handle in handles:
            self._discard(address, handle)

    def _expire(self, address, handle):
        self.unused += handle in self._size_by_handle
        self._discard(address, handle)

    def _discard(self, address, handle):
        self._used_by_address[address] -= self._size_by_handle.pop(handle, 0)

    def _call_seconds(self, upstream, batch):
        batching = self._pattern.batching_by_service[upstream.service]
        work = sum(self.work_by_step.get(_step_key(job), 1.0) for job in batch)
        return batching.call_seconds + batching.piece_seconds * work

    def _reserve_space(self, upstream, job):
        batching = self._pattern.batching_by_service[upstream.service]
        used = self._used_by_address[upstream.address]
        for handle in job.piece.inputs:
            address = handle.partition("/")[0]
            if self._centre_by_address[address] != upstream.data_centre:
                self.cross_centre_bytes += self._size_by_handle.get(handle, 0)
        if used + job.result_bytes > batching.result_capacity:
            self.out_of_space += 1
            return False
        self._used_by_address[upstream.address] += job.result_bytes
        return True

    def _misses_inputs(self, job):
        return any(handle not in self._size_by_handle for handle in job.piece.inputs)

    def _result(self, upstream, job, has_space, misses_inputs):
        if misses_inputs:
            return PieceResult(reason="gone")
        if not has_space:
            return PieceResult(reason="room")
        address = upstream.address
        self._numbers[address] += 1
        handle = f"{address}/{self._numbers[address]}"
        self._size_by_handle[handle] = job.result_bytes
        batching = self._pattern.batching_by_service[upstream.service]
        loop = asyncio.get_running_loop()
        loop.call_later(batching.result_lifetime, self._expire, address, handle)
        return PieceResult(handle)


def _step_key(job):
    return (job.piece.key, job.piece.step)
