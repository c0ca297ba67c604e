"""Tracks the space that results take up at the upstreams that hold them."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

__all__ = ["ResultUsage"]


@dataclass(slots=True)
class _StoredResults:
    """Results at one address: size by handle, total size, and a heap of expiries."""

    size_by_handle: dict[str, int] = field(default_factory=dict)
    total: float = 0
    expiries: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class ResultUsage:
    """Bytes in use by address: stored results and reservations of running calls.

    Totals are kept up to date, since `used` is called for each queued piece.
    """

    reserved_by_address: dict[str, float] = field(default_factory=dict)
    stored_by_address: dict[str, _StoredResults] = field(default_factory=dict)
    address_by_handle: dict[str, str] = field(default_factory=dict)
    others_by_address: dict[str, tuple] = field(default_factory=dict)

    def used(self, address, now):
        """Return the bytes in use at time `now`, without expired results.

        >>> usage = ResultUsage()
        >>> usage.reserve("a", 3)
        >>> usage.store("a", "h", 5, until=10.0)
        >>> usage.used("a", 9.0), usage.used("a", 11.0)
        (8, 3)
        """
        stored = self.stored_by_address.get(address)
        own = self.reserved_by_address.get(address, 0)
        if stored is not None:
            while stored.expiries and stored.expiries[0][0] <= now:
                self.remove(heappop(stored.expiries)[1])
            own += stored.total
        others, until = self.others_by_address.get(address, (0, 0.0))
        return own + (others if now < until else 0)

    def record_free(self, address, free, capacity, until):
        """Record the free bytes that an upstream with `capacity` bytes reports.

        What this gateway doesn't use of the rest is counted as results of other
        gateways up to the time `until`. They may be those of a gateway that is gone.
        """
        self.others_by_address.pop(address, None)
        others = max(0, capacity - free - self.used(address, until))
        self.others_by_address[address] = (others, until)

    def reserve(self, address, size):
        """Reserve bytes for a call."""
        before = self.reserved_by_address.get(address, 0)
        self.reserved_by_address[address] = before + size

    def release(self, address, size):
        """Release the reservation of a call that ended."""
        self.reserved_by_address[address] -= size

    def store(self, address, handle, size, until):
        """Add a result, which counts until it is removed or expires."""
        stored = self.stored_by_address.setdefault(address, _StoredResults())
        stored.size_by_handle[handle] = size
        stored.total += size
        heappush(stored.expiries, (until, handle))
        self.address_by_handle[handle] = address

    def remove(self, handle):
        """Remove a result, if it is still known."""
        address = self.address_by_handle.pop(handle, None)
        if address is not None:
            stored = self.stored_by_address[address]
            stored.total -= stored.size_by_handle.pop(handle, 0)
