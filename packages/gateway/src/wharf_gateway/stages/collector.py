"""Fills the calls of one pool's upstreams with pieces of any request."""

import asyncio
from collections import Counter

import structlog
from result import Err, Ok

from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.model.piece_result import PieceResult
from wharf_gateway.stages.piece_queue import PieceQueue
from wharf_gateway.stages.result_room import ResultRoom

__all__ = ["Collector"]

log = structlog.get_logger(__name__)

MAX_TRIES = 3  # calls in which one piece may be
# A call is given up after this many times the time that its upstream usually takes:
# a dark one never answers, and its pieces can still be in time elsewhere.
PATIENCE_FACTOR = 4.0
# The configuration's time of a piece is approximate and differs by step; about the
# last twenty calls tell it better.
PIECE_SHARE = 0.05
MOST_PIECE_FACTOR = 2.0
ROOM_PAUSE_SECONDS = 0.3  # before an upstream that tells no room is tried again
# How long others' results count after a report: they go when their request runs.
ROOM_TRUST_SECONDS = 0.7
# An upstream this much slower than expected gets only what others can't finish sooner.
SLOW_PACE = 1.5
FULL_PAUSE_SECONDS = 0.05  # before an upstream that was full is asked again


class Collector:
    """Run the pieces of one service in one pool of data centres.

    It has one call in flight for each of an upstream's places, so that pieces
    gather while a call runs, and the next call takes as many as fit.
    """

    def __init__(self, fleet, caller, service, pool, clock):
        self._fleet = fleet
        self._caller = caller
        self.service = service
        self._pool = pool
        self._clock = clock
        self.queue = PieceQueue()
        self._calls_by_id = {}
        self._room = ResultRoom()
        self._busy_until_by_id = {}
        self._tasks = set()
        self._piece_factor = 1.0
        self._unneeded_by_address = {}
        self._freeing = set()
        self._timer = None
        self._not_before_by_id = {}

    def submit(self, jobs, now):
        """Let pieces wait for their turn."""
        for job in jobs:
            self.queue.push(job)
        self.advance(now)

    def free(self, handles):
        """Drop results that are not needed any more, and then use their room."""
        for handle in handles:
            address = self._room.address_by_handle.get(handle)
            if address is not None:
                self._unneeded_by_address.setdefault(address, []).append(handle)
        for address in list(self._unneeded_by_address):
            if address not in self._freeing:
                self._freeing.add(address)
                self._spawn(self._free_at(address))

    async def _free_at(self, address):
        try:
            while handles := self._unneeded_by_address.pop(address, None):
                await self._caller.free(address, handles)
                for handle in handles:
                    self._room.free(handle)
                self.advance(self._clock())
        finally:
            self._freeing.discard(address)

    def _full_call_seconds(self, batching):
        """Return what a call with all its places takes, as measured lately."""
        piece_seconds = batching.piece_seconds * self._piece_factor
        return batching.call_seconds + batching.batch_size * piece_seconds

    def _busy_seconds(self, state, now):
        """Return the seconds until an upstream has probably ended its call."""
        return max(0.0, self._busy_until_by_id.get(state.upstream.id, now) - now)

    def _learn(self, count, seconds, batching):
        each = max(0.0, seconds - batching.call_seconds) / count
        factor = min(each / batching.piece_seconds, MOST_PIECE_FACTOR)
        self._piece_factor += PIECE_SHARE * (factor - self._piece_factor)

    def throughput(self, now):
        """Return the pieces a second that the pool runs with full calls."""
        batching = self._batching()
        if batching is None:
            return 0.0
        full = self._full_call_seconds(batching)
        return sum(
            batching.concurrency * batching.batch_size / (full * state.pace)
            for state in self._states(now)
        )

    def advance(self, now):
        """Start what calls can be started."""
        batching = self._batching()
        if batching is None:
            return
        for job in self.queue.drop_useless(batching.call_seconds, now):
            job.finish(PieceResult(reason="late"))
        if not len(self.queue):
            return
        free = [s for s in self._states(now) if self._is_free(s, batching, now)]
        for state in self._nearest_first(free):
            if not len(self.queue):
                return
            self._start(state, batching, now)
        self._wake_later(now)

    def _is_free(self, state, batching, now):
        name = state.upstream.id
        return self._calls_by_id.get(
            name, 0
        ) < batching.concurrency and now >= self._not_before_by_id.get(name, 0.0)

    def _start(self, state, batching, now):
        upstream = state.upstream
        if state.pace > SLOW_PACE and self._others_are_sooner(state, batching, now):
            return
        room = batching.result_capacity - self._room.used(upstream.address, now)
        centre = upstream.data_centre
        batch = self.queue.take(
            1 if state.needs_probe else batching.batch_size,
            room,
            batching.call_seconds,
            now,
            lambda job: self._may_run(job, centre, batching, now),
        )
        if not batch:
            return
        self._keep_together(batch, centre)
        self._calls_by_id[upstream.id] = self._calls_by_id.get(upstream.id, 0) + 1
        self._room.reserve(upstream.address, sum(job.result_bytes for job in batch))
        self._spawn(self._run(state, batch, batching, now))

    def _may_run(self, job, centre, batching, now):
        """Return whether a piece may run in a data centre.

        It leaves the one where it should run only if it would be late there, or if
        there is no room.
        """
        near = job.group.near
        if not near or near == centre:
            return True
        wait = self._wait(near, job.result_bytes, batching, now)
        if wait == float("inf"):
            return True
        end = now + batching.call_seconds + job.seconds
        return end + wait > job.on_time_by >= end

    def _others_are_sooner(self, state, batching, now):
        """Return whether the other upstreams end what waits before a slow one would."""
        others = [
            other
            for other in self._states(now)
            if other is not state and other.pace <= SLOW_PACE
        ]
        if not others:
            return False
        full = self._full_call_seconds(batching)
        calls = max(1.0, len(self.queue) / (batching.batch_size * len(others)))
        wait = min(self._busy_seconds(other, now) for other in others)
        return wait + calls * full < full * state.pace

    def _wait(self, centre, size, batching, now):
        """Return the seconds until a data centre has a free upstream with room."""
        most = batching.result_capacity - size
        return min(
            (
                self._busy_seconds(state, now)
                for state in self._states(now)
                if state.upstream.data_centre == centre
                and self._room.used(state.upstream.address, now) <= most
            ),
            default=float("inf"),
        )

    def _keep_together(self, batch, centre):
        """Let the other pieces of the same steps follow these."""
        for job in batch:
            job.group.near = job.group.near or centre

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, state, batch, batching, started):
        upstream = state.upstream
        planned = self._expected_seconds(batch, batching)
        expected = planned * state.pace
        self._busy_until_by_id[upstream.id] = started + expected
        state.in_flight += 1
        try:
            patience = expected * PATIENCE_FACTOR
            answer = await self._caller.run(upstream, batch, patience, started)
        except HttpCallError as error:
            answer = Err(str(error))
            state.record_unreachable(self._clock())
            state.record_pace((self._clock() - started) / planned)
        except Exception:  # a fault of ours must not leave requests waiting
            log.exception("pieces_failed_inside", upstream=upstream.id)
            answer = Err("internal")
        finally:
            state.in_flight -= 1
            self._calls_by_id[upstream.id] -= 1
            self._busy_until_by_id.pop(upstream.id, None)
        now = self._clock()
        self._room.unreserve(upstream.address, sum(job.result_bytes for job in batch))
        match answer:
            case Ok(results):
                state.record_success(now - started)
                state.record_pace((now - started) / planned)
                self._learn(len(batch), (now - started) / state.pace, batching)
                self._deliver(upstream, batch, results, batching, now)
            case Err(reason):
                log.info(
                    "pieces_failed",
                    upstream=upstream.id,
                    pieces=len(batch),
                    requests=sorted({job.piece.call_id for job in batch})[:8],
                    reason=reason,
                    seconds=round(now - started, 3),
                )
                if reason == "full":
                    self._not_before_by_id[upstream.id] = now + FULL_PAUSE_SECONDS
                for job in batch:
                    self._retry(job, reason, counts=reason != "full")
        self.advance(now)

    def _deliver(self, upstream, batch, results, batching, now):
        until = now + batching.result_lifetime
        lacks_room = False
        for job, result in zip(batch, results, strict=True):
            if result.handle is not None:
                size = job.result_bytes
                self._room.keep(upstream.address, result.handle, size, until)
                if job.is_over:
                    self.free([result.handle])
                job.finish(result)
                continue
            lacks_room = lacks_room or result.reason == "room"
            if result.reason in ("late", "gone"):
                job.finish(result)
            else:
                self._retry(job, result.reason, counts=result.reason != "room")
        if lacks_room:
            self._not_before_by_id[upstream.id] = now + ROOM_PAUSE_SECONDS
            self._spawn(self._learn_room(upstream, batching))

    async def _learn_room(self, upstream, batching):
        """Ask an upstream for its room, since others have results there."""
        free = await self._caller.free_room(upstream)
        now = self._clock()
        if free is not None:
            until = now + ROOM_TRUST_SECONDS
            room = batching.result_capacity
            self._room.note_free(upstream.address, free, room, until)
            self._not_before_by_id.pop(upstream.id, None)
        log.info("room_learnt", upstream=upstream.id, free=free)
        self.advance(now)

    def _retry(self, job, reason, counts):
        if job.is_over:
            return
        job.tries += counts
        if job.tries >= MAX_TRIES:
            job.finish(PieceResult(reason=reason))
        else:
            self.queue.push(job)

    def _expected_seconds(self, jobs, batching):
        return batching.call_seconds + sum(job.seconds for job in jobs)

    def _batching(self):
        configuration = self._fleet.configuration
        service = configuration and configuration.service_by_name.get(self.service)
        return service.batching if service else None

    def _nearest_first(self, states):
        """Return upstreams, those first where most results are wanted."""
        if len(states) < 2:
            return states
        wanted = Counter(job.group.near for job in self.queue.jobs)
        return sorted(states, key=lambda state: -wanted[state.upstream.data_centre])

    def _states(self, now):
        """Return the upstreams of the pool that aren't resting."""
        return [
            state
            for state in self._fleet.states(self.service)
            if self._pool.holds(state.upstream.data_centre)
            and not state.in_backoff(now)
        ]

    def _wake_later(self, now):
        if self._timer or not len(self.queue):
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FULL_PAUSE_SECONDS, self._wake)

    def _wake(self):
        self._timer = None
        self.advance(self._clock())
