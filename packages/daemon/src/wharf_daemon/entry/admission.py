"""Admission of stage calls: at once, after a wait, or refused."""

import asyncio
from collections import defaultdict

from result import Err, Ok, Result

from wharf_coordination import Candidate, Code, FairQueue, QueuedCall, Refusal
from wharf_daemon.entry.pool_queue import PoolQueue
from wharf_daemon.entry.waiting import Waiting

__all__ = ["Admission"]

TICK_SECONDS = 0.05
MIN_COST_SECONDS = 0.001
PREFIX_BYTES = 256


class Admission:
    """Give each call an upstream with room, in order of priority and fair share.

    A call that can't meet its deadline is refused as soon as that shows.
    """

    def __init__(self, links, feed, versions, policy, budget, max_queued):
        self._links = links
        self._feed = feed
        self._versions = versions
        self._policy = policy
        self._budget = budget
        self._queue_by_pool = defaultdict(lambda: PoolQueue(FairQueue(max_queued)))
        self._waiting_by_call = {}
        links.reports.subscribe(self._on_report)

    async def run(self):
        """Refuse waiting calls whose time is up, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for pool in tuple(self._queue_by_pool):
                self._expire(pool)
                self._start_waiting(pool)

    async def place(self, task, tried) -> Result[Candidate, Refusal]:
        """Return an upstream for the call, whose room is then reserved for it.

        The caller must `release` it after the attempt.
        """
        if not self._policy.is_queueing:
            return self._place_now(task, tried)
        call = self._queued_call(task)
        if self._is_hopeless(task, call):
            return Err(_too_late(task))
        queue = self._queue_by_pool[task.stage.pool]
        if not queue.calls.ahead_of(call):
            placed = self._place_now(task, tried)
            if placed.is_ok():
                return placed
        return await self._wait(Waiting(task, frozenset(tried), call, _future()))

    def release(self, candidate, pool):
        """Return the room of an ended attempt and give it to a waiting call."""
        self._links.release(candidate.upstream)
        self._start_waiting(pool)

    def dump(self):
        """Return the number of waiting calls by pool for operators."""
        return {pool: len(queue.calls) for pool, queue in self._queue_by_pool.items()}

    def _on_report(self, upstream):
        declared = self._feed.document.folder.upstreams.get(upstream)
        if declared and declared.pool in self._queue_by_pool:
            self._start_waiting(declared.pool)

    def _place_now(self, task, tried):
        now = self._now()
        document = self._feed.document
        pool = task.stage.pool
        version = self._versions.version_for(task, now, tried)
        priority = task.request.priority
        candidates = self._links.candidates(document, pool, version, tried, priority)
        if not candidates and tried:
            # Another try on the same upstream beats none.
            candidates = self._links.candidates(document, pool, version, (), priority)
        prefix = self._prefix(task, document.folder.pools[pool])
        candidate = self._policy.chooser.choose(candidates, now, prefix)
        if candidate is None:
            return Err(Refusal.not_run(Code.NO_UPSTREAM, f"pool {pool!r}"))
        self._links.place(candidate.upstream)
        return Ok(candidate)

    def _prefix(self, task, pool):
        if pool.kind != "engine":
            return ""
        start = task.request.body[:PREFIX_BYTES].decode(errors="replace")
        return f"{task.request.pipeline}/{task.request.customer}/{start}"

    async def _wait(self, waiting):
        pool, call = waiting.task.stage.pool, waiting.call
        self._waiting_by_call[call] = waiting
        victim = self._queue_by_pool[pool].calls.push(call)
        if victim is not None:
            detail = f"pool {pool!r} has too many waiting calls"
            self._settle(victim, Err(Refusal.not_run(Code.ENTRY_FULL, detail)))
        try:
            return await waiting.placement
        except asyncio.CancelledError:
            self._give_up(pool, waiting)
            raise

    def _give_up(self, pool, waiting):
        if waiting.call in self._waiting_by_call:
            del self._waiting_by_call[waiting.call]
            self._queue_by_pool[pool].calls.remove(waiting.call)
        elif not waiting.placement.cancelled():
            placed = waiting.placement.result()
            if placed.is_ok():
                self.release(placed.unwrap(), pool)

    def _start_waiting(self, pool):
        queue = self._queue_by_pool[pool]
        while self._start_one(queue):
            pass

    def _start_one(self, queue):
        for call in queue.calls.heads():
            waiting = self._waiting_by_call[call]
            placed = self._place_now(waiting.task, waiting.tried)
            if placed.is_ok():
                queue.start(call, self._now())
                self._settle(call, placed)
                return True
        return False

    def _expire(self, pool):
        for call in self._queue_by_pool[pool].calls.expire(self._now()):
            task = self._waiting_by_call[call].task
            self._settle(call, Err(_too_late(task)))

    def _settle(self, call, placed):
        waiting = self._waiting_by_call.pop(call)
        if not waiting.placement.cancelled():
            waiting.placement.set_result(placed)
        elif placed.is_ok():
            self._links.release(placed.unwrap().upstream)

    def _queued_call(self, task):
        request = task.request
        customer = self._feed.document.folder.customers.get(request.customer)
        return QueuedCall(
            id=request.id,
            customer=request.customer,
            priority=request.priority,
            latest_start=self._budget.latest_start(task),
            weight=customer.weight if customer else 1.0,
            cost=max(self._budget.expected(task), MIN_COST_SECONDS),
        )

    def _is_hopeless(self, task, call):
        pools = [task.stage.pool]
        pools += [stage.pool for stage in self._budget.later_stages(task)]
        waits = (
            self._queue_by_pool[pool].wait(call)
            for pool in pools
            if pool in self._queue_by_pool
        )
        return self._now() + sum(waits) > call.latest_start

    def _now(self):
        return asyncio.get_running_loop().time()


def _future():
    return asyncio.get_running_loop().create_future()


def _too_late(task):
    detail = f"stage {task.stage.name!r} can't end within the deadline"
    return Refusal.not_run(Code.DEADLINE_TOO_SHORT, detail)
