"""Bounded queue ordered by priority, weighted fair share and deadline."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf

from wharf_coordination.priority import Priority
from wharf_coordination.queued_call import QueuedCall

__all__ = ["FairQueue"]

MAX_CALLS = 1000


@dataclass(slots=True)
class _CustomerQueues:
    """Weighted fair queue over the customers of one priority.

    The calls of a customer are in order of deadline. Its virtual time is the cost
    of its started calls divided by its weight. A customer that returns after being
    idle starts at the current virtual time, so it can't accumulate credit.
    """

    heap_by_customer: dict[str, list] = field(default_factory=dict)
    virtual_time_by_customer: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0

    def push(self, call, number):
        if call.customer not in self.heap_by_customer:
            self.heap_by_customer[call.customer] = []
            earlier = self.virtual_time_by_customer.get(call.customer, 0.0)
            self.virtual_time_by_customer[call.customer] = max(
                earlier, self.virtual_time
            )
        item = (call.latest_start, number, call)
        heappush(self.heap_by_customer[call.customer], item)

    def head(self):
        customer = min(
            self.heap_by_customer, key=self.virtual_time_by_customer.__getitem__
        )
        return self.heap_by_customer[customer][0][-1]

    def charge(self, call):
        self.virtual_time = self.virtual_time_by_customer[call.customer]
        self.virtual_time_by_customer[call.customer] += call.cost / call.weight

    def remove(self, call):
        heap = self.heap_by_customer[call.customer]
        if heap[0][-1] is call:
            heappop(heap)
        else:
            heap[:] = [item for item in heap if item[-1] is not call]
            heapify(heap)
        if not heap:
            del self.heap_by_customer[call.customer]
            self._drop_idle_customers()

    def calls(self):
        return [item[-1] for heap in self.heap_by_customer.values() for item in heap]

    def _drop_idle_customers(self):
        self.virtual_time_by_customer = {
            customer: time
            for customer, time in self.virtual_time_by_customer.items()
            if customer in self.heap_by_customer or time > self.virtual_time
        }


@dataclass(slots=True)
class FairQueue:
    """Order the waiting calls; the caller removes those that it starts or drops.

    More urgent priorities go first. Within a priority, the customer with the least
    started cost relative to its weight goes first, and among its calls the one with
    the earliest `latest_start`.
    """

    max_calls: int = MAX_CALLS
    _queues_by_priority: dict[Priority, _CustomerQueues] = field(
        default_factory=lambda: {priority: _CustomerQueues() for priority in Priority}
    )
    _size_by_priority: dict[Priority, int] = field(
        default_factory=lambda: dict.fromkeys(Priority, 0)
    )
    _numbers: count = field(default_factory=count)

    def __len__(self):
        """Return the number of waiting calls."""
        return sum(self._size_by_priority.values())

    def push(self, call) -> QueuedCall | None:
        """Add a call; return the call that was evicted if the queue was full.

        That is the new call, unless calls of a less urgent priority wait: then it
        is the one with the latest `latest_start` of the least urgent priority.
        """
        self._add(call)
        if len(self) <= self.max_calls:
            return None
        victim = self._choose_victim(call)
        self.remove(victim)
        return victim

    def heads(self):
        """Yield the first call of each non-empty priority, most urgent first."""
        for priority, queues in self._queues_by_priority.items():
            if self._size_by_priority[priority]:
                yield queues.head()

    def start(self, call):
        """Remove a call that is about to start and charge its cost to its customer."""
        self._queues_by_priority[call.priority].charge(call)
        self.remove(call)

    def remove(self, call):
        """Remove a call without charging its customer."""
        self._queues_by_priority[call.priority].remove(call)
        self._size_by_priority[call.priority] -= 1

    def expire(self, now) -> list[QueuedCall]:
        """Remove and return the calls whose `latest_start` has passed."""
        expired = [
            call
            for queues in self._queues_by_priority.values()
            for call in queues.calls()
            if call.latest_start < now
        ]
        for call in expired:
            self.remove(call)
        return expired

    def clear(self) -> list[QueuedCall]:
        """Remove and return all calls."""
        return self.expire(inf)

    def ahead_of(self, call):
        """Estimate how many calls would start before `call` if it were added now.

        Within its priority, each other customer starts at most as many calls for
        each call of this customer as the ratio of their weights allows.
        """
        more_urgent = sum(
            size
            for priority, size in self._size_by_priority.items()
            if priority < call.priority
        )
        queues = self._queues_by_priority[call.priority]
        heaps = queues.heap_by_customer
        own = len(heaps.get(call.customer, ()))
        others = sum(
            min(len(heap), (own + 1) * heap[0][-1].weight / call.weight)
            for customer, heap in heaps.items()
            if customer != call.customer
        )
        return more_urgent + own + others

    def _add(self, call):
        queues = self._queues_by_priority[call.priority]
        queues.push(call, next(self._numbers))
        self._size_by_priority[call.priority] += 1

    def _choose_victim(self, call):
        last = max(each for each in Priority if self._size_by_priority[each])
        if last == call.priority:
            return call
        calls = self._queues_by_priority[last].calls()
        return max(calls, key=lambda each: each.latest_start)
