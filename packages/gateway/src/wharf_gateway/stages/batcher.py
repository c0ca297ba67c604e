"""Batches pieces of all requests into calls to the upstreams of one service."""

import asyncio
from collections import Counter

import structlog
from result import Err, Ok

from wharf_coordination.rendezvous import fraction
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.model.piece_result import PieceResult
from wharf_gateway.policies import prepares_by_loss
from wharf_gateway.stages.piece_queue import PieceQueue
from wharf_gateway.stages.result_usage import ResultUsage
from wharf_gateway.stages.stagger import start_wait

__all__ = ["Batcher"]

log = structlog.get_logger(__name__)

MAX_ATTEMPTS = 3  # calls that may include the same piece
# A call times out after this multiple of its expected duration: a host that is down
# never responds, and its pieces can still be in time on another upstream.
CALL_TIMEOUT_FACTOR = 4.0
# Weight of a call in the moving average of piece times, so that about the last twenty
# calls count. The configured piece time is approximate and differs between steps.
PIECE_TIME_WEIGHT = 0.05
MAX_PIECE_TIME_FACTOR = 2.0
NO_SPACE_BACKOFF_SECONDS = 0.3  # if the upstream doesn't report its free space
# How long a reported free space stays valid: it includes results of other gateways,
# which are dropped once their requests run.
SPACE_REPORT_VALID_SECONDS = 0.7
# An upstream slower than expected by this factor only gets pieces that the others
# can't finish sooner.
SLOW_PACE = 1.5
FULL_BACKOFF_SECONDS = 0.05  # before an upstream that was full gets the next call
# By the policy `by_loss`, an upstream that was full gets the next call after half of a
# full call, by which time one of its calls has likely ended, then after twice as long
# each time. On a heavy day 1,051 of 3,696 calls found their upstream full, as 30
# gateways tried again every 50 ms.
MAX_FULL_BACKOFF_SECONDS = 1.2
MIN_WAIT_SECONDS = 0.001  # a shorter wait for a call's turn costs more than it gains


class Batcher:
    """Run the pieces of one service on the upstreams of one pool.

    An upstream gets as many concurrent calls as it can run and no more, so that
    pieces queue up while calls run and the next call takes as many as fit.
    """

    def __init__(self, fleet, client, service, pool, clock, settings=None):
        self._settings = settings
        self._fleet = fleet
        self._client = client
        self.service = service
        self._pool = pool
        self._clock = clock
        self.queue = PieceQueue()
        self._calls_by_id = {}
        self._usage = ResultUsage()
        self._busy_until_by_id = {}
        self._tasks = set()
        self._piece_time_factor = 1.0
        self._unneeded_by_address = {}
        self._freeing = set()
        self._timer = None
        self._backoff_until_by_id = {}
        self._full_answers_by_id = Counter()
        self._last_start = float("-inf")
        self._start_timer = None
        self.delayed_starts = 0

    @property
    def is_by_loss(self):
        """Return whether preparations are ordered by what callers lose by waiting."""
        services = self._fleet.shared_host_services
        return self._settings is not None and prepares_by_loss(self._settings, services)

    def submit(self, jobs, now):
        """Queue pieces and start the calls that are possible."""
        for job in jobs:
            self.queue.push(job)
        self.advance(now)

    def free(self, handles):
        """Drop results that are no longer needed, then reuse their space."""
        for handle in handles:
            address = self._usage.address_by_handle.get(handle)
            if address is not None:
                self._unneeded_by_address.setdefault(address, []).append(handle)
        for address in list(self._unneeded_by_address):
            if address not in self._freeing:
                self._freeing.add(address)
                self._spawn(self._free_at(address))

    async def _free_at(self, address):
        try:
            while handles := self._unneeded_by_address.pop(address, None):
                await self._client.free(address, handles)
                for handle in handles:
                    self._usage.remove(handle)
                self.advance(self._clock())
        finally:
            self._freeing.discard(address)

    def _full_call_seconds(self, batching):
        """Return the duration of a call with a full batch, by recent measurements."""
        piece_seconds = batching.piece_seconds * self._piece_time_factor
        return batching.call_seconds + batching.batch_size * piece_seconds

    def _busy_seconds(self, state, now):
        """Return the seconds until the upstream's current call is expected to end."""
        return max(0.0, self._busy_until_by_id.get(state.upstream.id, now) - now)

    def _update_piece_time(self, count, seconds, batching):
        each = max(0.0, seconds - batching.call_seconds) / count
        factor = min(each / batching.piece_seconds, MAX_PIECE_TIME_FACTOR)
        self._piece_time_factor += PIECE_TIME_WEIGHT * (
            factor - self._piece_time_factor
        )

    def throughput(self, now):
        """Return the pieces a second that the pool runs with full calls."""
        batching = self._batching()
        if batching is None:
            return 0.0
        full = self._full_call_seconds(batching)
        return sum(
            batching.concurrency * batching.batch_size / (full * state.pace)
            for state in self._open_states(now)
        )

    def quiet_wait(self, now):
        """Return the seconds until the first upstream wants pieces again.

        Return 0 unless all of them want none.
        """
        states = self._states(now)
        return min((state.report.wait(now) for state in states), default=0.0)

    def advance(self, now):
        """Expire queued pieces and start the calls that are possible."""
        batching = self._batching()
        if batching is None:
            return
        for job in self.queue.remove_expired(batching.call_seconds, now):
            job.finish(PieceResult(reason="late"))
        if not len(self.queue):
            return
        free = [s for s in self._states(now) if self._is_free(s, batching, now)]
        for count, state in enumerate(self._preferred_first(free)):
            if not len(self.queue):
                return
            if self._must_wait(len(free) - count, batching, now):
                break
            self._start(state, batching, now)
        self._schedule_advance(now)

    def _must_wait(self, free, batching, now):
        """Return whether the next call waits for its turn, and set a timer for that."""
        if not self.is_by_loss:
            return False
        seconds = start_wait(
            len(self.queue),
            batching.batch_size,
            free,
            len(self._open_states(now)),
            self._full_call_seconds(batching),
            now - self._last_start,
        )
        if seconds < MIN_WAIT_SECONDS:
            return False
        self.delayed_starts += self._start_timer is None
        if self._start_timer is None:
            loop = asyncio.get_running_loop()
            self._start_timer = loop.call_later(seconds, self._on_start_timer)
        return True

    def _on_start_timer(self):
        self._start_timer = None
        self.advance(self._clock())

    def _is_free(self, state, batching, now):
        name = state.upstream.id
        has_room = self._calls_by_id.get(name, 0) < batching.concurrency
        is_rested = now >= self._backoff_until_by_id.get(name, 0.0)
        return has_room and is_rested and state.limit_wait(now) <= 0

    def _start(self, state, batching, now):
        upstream = state.upstream
        if state.pace > SLOW_PACE and self._others_finish_sooner(state, batching, now):
            return
        free_bytes = batching.result_capacity - self._usage.used(upstream.address, now)
        centre = upstream.data_centre
        batch = self.queue.pop_batch(
            1 if state.needs_probe else batching.batch_size,
            free_bytes,
            batching.call_seconds,
            now,
            lambda job: self._may_run(job, centre, batching, now),
        )
        if not batch:
            return
        self._last_start = now
        self._set_preferred(batch, centre)
        state.reserve_send(now)
        self._calls_by_id[upstream.id] = self._calls_by_id.get(upstream.id, 0) + 1
        self._usage.reserve(upstream.address, sum(job.result_bytes for job in batch))
        self._spawn(self._run(state, batch, batching, now))

    def _may_run(self, job, centre, batching, now):
        """Return whether a piece may run in a data centre.

        It may leave its preferred data centre only if it would be late there, or if
        no upstream there has space for its result.
        """
        preferred = job.group.preferred_data_centre
        if not preferred or preferred == centre:
            return True
        wait = self._wait_seconds(preferred, job.result_bytes, batching, now)
        if wait == float("inf"):
            return True
        end = now + batching.call_seconds + job.seconds
        return end + wait > job.soft_deadline >= end

    def _others_finish_sooner(self, state, batching, now):
        """Return whether other upstreams finish the queue sooner than a slow one."""
        others = [
            other
            for other in self._open_states(now)
            if other is not state and other.pace <= SLOW_PACE
        ]
        if not others:
            return False
        full = self._full_call_seconds(batching)
        calls = max(1.0, len(self.queue) / (batching.batch_size * len(others)))
        wait = min(self._busy_seconds(other, now) for other in others)
        return wait + calls * full < full * state.pace

    def _wait_seconds(self, centre, size, batching, now):
        """Return the seconds until a free upstream in a data centre has space."""
        most = batching.result_capacity - size
        return min(
            (
                self._busy_seconds(state, now)
                for state in self._states(now)
                if state.upstream.data_centre == centre
                and self._usage.used(state.upstream.address, now) <= most
            ),
            default=float("inf"),
        )

    def _set_preferred(self, batch, centre):
        """Prefer this data centre for the remaining pieces of the same steps."""
        for job in batch:
            job.group.preferred_data_centre = job.group.preferred_data_centre or centre

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
        is_lost = False
        try:
            timeout = expected * CALL_TIMEOUT_FACTOR
            answer = await self._client.run(upstream, batch, timeout, started)
        except HttpCallError as error:
            answer, is_lost = Err(str(error)), error.was_sent
            state.record_unreachable(self._clock())
            state.record_pace((self._clock() - started) / planned)
        except Exception:  # an internal error must not leave requests waiting
            log.exception("pieces_failed_inside", upstream=upstream.id)
            answer = Err("internal")
        finally:
            state.in_flight -= 1
            self._calls_by_id[upstream.id] -= 1
            self._busy_until_by_id.pop(upstream.id, None)
        now = self._clock()
        self._usage.release(upstream.address, sum(job.result_bytes for job in batch))
        match answer:
            case Ok(results):
                self._full_answers_by_id.pop(upstream.id, None)
                state.record_success(now - started)
                state.record_pace((now - started) / planned)
                self._update_piece_time(
                    len(batch), (now - started) / state.pace, batching
                )
                self._deliver(upstream, batch, results, batching, now)
            case Err(reason):
                for job in batch:
                    job.lost_calls += is_lost
                log.info(
                    "pieces_failed",
                    upstream=upstream.id,
                    pieces=len(batch),
                    requests=sorted({job.piece.call_id for job in batch})[:8],
                    reason=reason,
                    seconds=round(now - started, 3),
                )
                if reason == "full":
                    seconds = self._full_backoff(upstream, batching)
                    self._backoff_until_by_id[upstream.id] = now + seconds
                for job in batch:
                    self._retry(job, reason, counts=reason != "full")
        self.advance(now)

    def _deliver(self, upstream, batch, results, batching, now):
        until = now + batching.result_lifetime
        lacks_space = False
        for job, result in zip(batch, results, strict=True):
            if result.handle is not None:
                size = job.result_bytes
                self._usage.store(upstream.address, result.handle, size, until)
                if job.is_done:
                    self.free([result.handle])
                job.finish(result)
                continue
            lacks_space = lacks_space or result.reason == "room"
            if result.reason in ("late", "gone"):
                job.finish(result)
            else:
                self._retry(job, result.reason, counts=result.reason != "room")
        if lacks_space:
            self._backoff_until_by_id[upstream.id] = now + NO_SPACE_BACKOFF_SECONDS
            self._spawn(self._update_free_bytes(upstream, batching))

    def _full_backoff(self, upstream, batching):
        """Return the seconds before an upstream that was full gets the next call.

        They differ between gateways, so that these don't try again together.
        """
        if not self.is_by_loss:
            return FULL_BACKOFF_SECONDS
        self._full_answers_by_id[upstream.id] += 1
        answers = self._full_answers_by_id[upstream.id]
        spread = fraction(f"{self._settings.name} {answers}", upstream.id)
        longest = self._full_call_seconds(batching) * 2.0 ** min(answers - 2, 8)
        return min(longest, MAX_FULL_BACKOFF_SECONDS) * (0.5 + spread)

    async def _update_free_bytes(self, upstream, batching):
        """Ask an upstream for its free space.

        It may also store results of other gateways.
        """
        free = await self._client.free_bytes(upstream)
        now = self._clock()
        if free is not None:
            until = now + SPACE_REPORT_VALID_SECONDS
            capacity = batching.result_capacity
            self._usage.record_free(upstream.address, free, capacity, until)
            self._backoff_until_by_id.pop(upstream.id, None)
        log.info("room_learnt", upstream=upstream.id, free=free)
        self.advance(now)

    def _retry(self, job, reason, counts):
        if job.is_done:
            return
        job.attempts += counts
        if job.attempts >= MAX_ATTEMPTS:
            job.finish(PieceResult(reason=reason))
        else:
            self.queue.push(job)

    def _expected_seconds(self, jobs, batching):
        return batching.call_seconds + sum(job.seconds for job in jobs)

    def _batching(self):
        configuration = self._fleet.configuration
        service = configuration and configuration.service_by_name.get(self.service)
        return service.batching if service else None

    def _preferred_first(self, states):
        """Return upstreams by how many queued pieces prefer their data centre."""
        if len(states) < 2:
            return states
        wanted = Counter(job.group.preferred_data_centre for job in self.queue.jobs)
        return sorted(states, key=lambda state: -wanted[state.upstream.data_centre])

    def _open_states(self, now):
        """Return the upstreams of the pool that want pieces, or else all of them."""
        states = self._states(now)
        return [s for s in states if not s.report.is_quiet(now)] or states

    def _states(self, now):
        """Return the upstreams of the pool that aren't resting."""
        return [
            state
            for state in self._fleet.states_or_leaving(self.service, now)
            if self._pool.contains(state.upstream.data_centre)
            and not state.in_backoff(now)
        ]

    def _schedule_advance(self, now):
        if self._timer or not len(self.queue):
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FULL_BACKOFF_SECONDS, self._on_timer)

    def _on_timer(self):
        self._timer = None
        self.advance(self._clock())
