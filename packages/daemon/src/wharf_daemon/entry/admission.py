"""Admission control of stage calls: admit, queue or refuse."""

import asyncio
from collections import defaultdict

from result import Err, Ok, Result

from wharf_coordination import Candidate, Code, FairQueue, QueuedCall, Refusal
from wharf_daemon.entry.pool_queue import PoolQueue
from wharf_daemon.entry.waiting_task import WaitingTask

__all__ = ["Admission"]

EXPIRY_INTERVAL_SECONDS = 0.05
MIN_COST_SECONDS = 0.001
MIN_CALL_SECONDS = 0.2
# Bytes of a request's start; calls that share them prefer the same engines, whose
# caches probably hold that prefix.
PREFIX_BYTES = 256


class Admission:
    """Assign upstream capacity to calls by priority and fair share.

    A call that is not expected to meet its deadline is refused early.
    """

    def __init__(self, links, feed, versions, policy, budget, max_queued):
        self._links = links
        self._feed = feed
        self._versions = versions
        self._policy = policy
        self._budget = budget
        self._queue_by_pool = defaultdict(lambda: PoolQueue(FairQueue(max_queued)))
        self._waiting_by_call = {}
        self._end = None
        links.reports.subscribe(self._on_report)

    async def run(self):
        """Expire waiting calls and admit others periodically, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            for pool in tuple(self._queue_by_pool):
                self._refuse_if_removed(pool)
                self._expire(pool)
                self._refuse_unfinishable(pool)
                self._admit_waiting(pool)

    async def admit(self, task, tried) -> Result[Candidate, Refusal]:
        """Reserve capacity for one attempt and return its upstream.

        Upstreams in `tried` are avoided if others are available. The caller must
        `release` the candidate after the attempt.
        """
        if self._is_unfinishable(task):
            return Err(_stopping_refusal(task))
        if not self._policy.is_queueing:
            return self._try_admit(task, tried)
        call = self._queued_call(task)
        if self._would_miss_deadline(task, call):
            return Err(_deadline_refusal(task))
        queue = self._queue_by_pool[task.stage.pool]
        if not queue.calls.ahead_of(call):
            admitted = self._try_admit(task, tried)
            if admitted.is_ok():
                return admitted
        return await self._wait(WaitingTask(task, frozenset(tried), call, _future()))

    def end_at(self, end):
        """Refuse from now on calls that aren't expected to end by the time `end`."""
        self._end = end

    def release(self, candidate, pool):
        """Free the capacity of an ended attempt and admit waiting calls."""
        self._links.release(candidate.upstream)
        self._admit_waiting(pool)

    def dump(self):
        """Return the number of waiting calls by pool."""
        return {pool: len(queue.calls) for pool, queue in self._queue_by_pool.items()}

    def _on_report(self, upstream):
        upstream_settings = self._feed.document.folder.upstreams.get(upstream)
        if upstream_settings and upstream_settings.pool in self._queue_by_pool:
            self._admit_waiting(upstream_settings.pool)

    def _try_admit(self, task, tried):
        now = self._now()
        document = self._feed.document
        pool = task.stage.pool
        if pool not in document.folder.pools:
            return Err(_no_upstream(pool))
        version = self._versions.version_for(task, now, tried)
        priority = task.request.priority
        candidates = self._links.candidates(document, pool, version, tried, priority)
        if not candidates and tried:
            # Retry on an upstream that was already tried rather than give up.
            candidates = self._links.candidates(document, pool, version, (), priority)
        prefix = self._prefix(task, document.folder.pools[pool])
        candidate = self._policy.chooser.choose(candidates, now, prefix)
        if candidate is None:
            return Err(_no_upstream(pool))
        self._links.acquire(candidate.upstream)
        return Ok(candidate)

    def _prefix(self, task, pool):
        if pool.kind != "engine":
            return ""
        start = task.request.body[:PREFIX_BYTES].decode(errors="replace")
        return f"{task.request.pipeline}/{task.request.customer}/{start}"

    async def _wait(self, waiting):
        pool, call = waiting.task.stage.pool, waiting.call
        self._waiting_by_call[call] = waiting
        evicted = self._queue_by_pool[pool].calls.push(call)
        if evicted is not None:
            detail = f"queue of pool {pool!r} is full"
            self._resolve(evicted, Err(Refusal.not_run(Code.ENTRY_FULL, detail)))
        try:
            return await waiting.admission
        except asyncio.CancelledError:
            self._cancel(pool, waiting)
            raise

    def _cancel(self, pool, waiting):
        if waiting.call in self._waiting_by_call:
            del self._waiting_by_call[waiting.call]
            self._queue_by_pool[pool].calls.remove(waiting.call)
        elif not waiting.admission.cancelled():
            admitted = waiting.admission.result()
            if admitted.is_ok():
                self.release(admitted.unwrap(), pool)

    def _admit_waiting(self, pool):
        queue = self._queue_by_pool[pool]
        while self._admit_next(queue):
            pass

    def _admit_next(self, queue):
        for call in queue.calls.heads():
            waiting = self._waiting_by_call[call]
            admitted = self._try_admit(waiting.task, waiting.tried)
            if admitted.is_ok():
                queue.start(call, self._now())
                self._resolve(call, admitted)
                return True
        return False

    def _refuse_if_removed(self, pool):
        if pool in self._feed.document.folder.pools:
            return
        for call in self._queue_by_pool[pool].calls.clear():
            self._resolve(call, Err(_no_upstream(pool)))

    def _expire(self, pool):
        for call in self._queue_by_pool[pool].calls.expire(self._now()):
            task = self._waiting_by_call[call].task
            self._resolve(call, Err(_deadline_refusal(task)))

    def _refuse_unfinishable(self, pool):
        if self._end is None:
            return
        queue = self._queue_by_pool[pool].calls
        for call, waiting in tuple(self._waiting_by_call.items()):
            task = waiting.task
            if task.stage.pool == pool and self._is_unfinishable(task):
                queue.remove(call)
                self._resolve(call, Err(_stopping_refusal(task)))

    def _is_unfinishable(self, task):
        if self._end is None:
            return False
        left = max(self._budget.left(task), MIN_CALL_SECONDS)
        return self._now() + left >= self._end

    def _resolve(self, call, admitted):
        waiting = self._waiting_by_call.pop(call)
        if not waiting.admission.cancelled():
            waiting.admission.set_result(admitted)
        elif admitted.is_ok():
            self._links.release(admitted.unwrap().upstream)

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

    def _would_miss_deadline(self, task, call):
        pools = [task.stage.pool]
        pools += [stage.pool for stage in self._budget.later_stages(task)]
        waits = (
            self._queue_by_pool[pool].estimated_wait(call)
            for pool in pools
            if pool in self._queue_by_pool
        )
        return self._now() + sum(waits) > call.latest_start

    def _now(self):
        return asyncio.get_running_loop().time()


def _future():
    return asyncio.get_running_loop().create_future()


def _no_upstream(pool):
    return Refusal.not_run(Code.NO_UPSTREAM, f"pool {pool!r}")


def _stopping_refusal(task):
    detail = f"stage {task.stage.name!r} can't end before the entry stops"
    return Refusal.not_run(Code.ENTRY_STOPPING, detail)


def _deadline_refusal(task):
    detail = f"stage {task.stage.name!r} is not expected to meet the deadline"
    return Refusal.not_run(Code.DEADLINE_TOO_SHORT, detail)
