"""A bounded queue ordered by priority, fair share and deadline."""

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count

from wharf_coordination.priority import Priority
from wharf_coordination.queued_call import QueuedCall

__all__ = ["FairQueue"]

MAX_CALLS = 1000


@dataclass(slots=True)
class _Lane:
    """The waiting calls of one priority, by customer in order of deadline.

    The virtual time of a customer is the cost that it was served, divided by its
    weight. A customer that returns after an idle time starts at the present
    virtual time, so that it can't save up a claim.
    """

    heap_by_customer: dict[str, list] = field(default_factory=dict)
    time_by_customer: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0.0

    def push(self, call, number):
        if call.customer not in self.heap_by_customer:
            self.heap_by_customer[call.customer] = []
            earlier = self.time_by_customer.get(call.customer, 0.0)
            self.time_by_customer[call.customer] = max(earlier, self.virtual_time)
        item = (call.latest_start, number, call)
        heappush(self.heap_by_customer[call.customer], item)

    def first(self):
        customer = min(self.heap_by_customer, key=self.time_by_customer.__getitem__)
        return self.heap_by_customer[customer][0][-1]

    def charge(self, call):
        self.virtual_time = self.time_by_customer[call.customer]
        self.time_by_customer[call.customer] += call.cost / call.weight

    def remove(self, call):
        heap = self.heap_by_customer[call.customer]
        if heap[0][-1] is call:
            heappop(heap)
        else:
            heap[:] = [item for item in heap if item[-1] is not call]
            heapify(heap)
        if not heap:
            del self.heap_by_customer[call.customer]
            self._forget_idle()

    def calls(self):
        return [item[-1] for heap in self.heap_by_customer.values() for item in heap]

    def _forget_idle(self):
        self.time_by_customer = {
            customer: time
            for customer, time in self.time_by_customer.items()
            if customer in self.heap_by_customer or time > self.virtual_time
        }


@dataclass(slots=True)
class FairQueue:
    """Order waiting calls; the caller removes what it starts or gives up.

    A more urgent priority goes first. Within one, the customer with the least
    served cost for its weight goes first, and of its calls the one that must
    start earliest.
    """

    max_calls: int = MAX_CALLS
    _lane_by_priority: dict[Priority, _Lane] = field(
        default_factory=lambda: {priority: _Lane() for priority in Priority}
    )
    _size_by_priority: dict[Priority, int] = field(
        default_factory=lambda: dict.fromkeys(Priority, 0)
    )
    _numbers: count = field(default_factory=count)

    def __len__(self):
        """Return the number of waiting calls."""
        return sum(self._size_by_priority.values())

    def push(self, call) -> QueuedCall | None:
        """Add a call; return the call that must leave when there is no room.

        That is the least urgent one that could start last: the new call itself,
        unless one of a less urgent priority waits.
        """
        self._add(call)
        if len(self) <= self.max_calls:
            return None
        victim = self._least_urgent(call)
        self.remove(victim)
        return victim

    def heads(self):
        """Yield the first call of each priority that has any, most urgent first."""
        for priority, lane in self._lane_by_priority.items():
            if self._size_by_priority[priority]:
                yield lane.first()

    def start(self, call):
        """Remove a call that starts and charge its customer for it."""
        self._lane_by_priority[call.priority].charge(call)
        self.remove(call)

    def remove(self, call):
        """Remove a call that does not start."""
        self._lane_by_priority[call.priority].remove(call)
        self._size_by_priority[call.priority] -= 1

    def expire(self, now) -> list[QueuedCall]:
        """Remove and return the calls that can no longer be of use."""
        late = [
            call
            for lane in self._lane_by_priority.values()
            for call in lane.calls()
            if call.latest_start < now
        ]
        for call in late:
            self.remove(call)
        return late

    def ahead_of(self, call):
        """Return how many calls would start before `call`, were it added now.

        In its own priority, fair shares let the other customers start no more
        than their weight's part for each call of this customer.
        """
        more_urgent = sum(
            size
            for priority, size in self._size_by_priority.items()
            if priority < call.priority
        )
        lane = self._lane_by_priority[call.priority]
        heaps = lane.heap_by_customer
        own = len(heaps.get(call.customer, ()))
        others = sum(
            min(len(heap), (own + 1) * heap[0][-1].weight / call.weight)
            for customer, heap in heaps.items()
            if customer != call.customer
        )
        return more_urgent + own + others

    def _add(self, call):
        lane = self._lane_by_priority[call.priority]
        lane.push(call, next(self._numbers))
        self._size_by_priority[call.priority] += 1

    def _least_urgent(self, call):
        last = max(each for each in Priority if self._size_by_priority[each])
        if last == call.priority:
            return call
        calls = self._lane_by_priority[last].calls()
        return max(calls, key=lambda each: each.latest_start)
