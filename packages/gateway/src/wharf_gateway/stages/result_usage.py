"""The room that results take up at the upstreams that made them."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

__all__ = ["ResultRoom"]


@dataclass(slots=True)
class _Kept:
    """Results of one address: sizes by handle, their sum, and when they end."""

    size_by_handle: dict[str, int] = field(default_factory=dict)
    total: float = 0
    ends: list[tuple[float, str]] = field(default_factory=list)


@dataclass(slots=True)
class ResultRoom:
    """Bytes by address: of results that are kept, and of calls under way.

    It is asked for each piece that waits, so sums are kept up to date.
    """

    reserved_by_address: dict[str, float] = field(default_factory=dict)
    kept_by_address: dict[str, _Kept] = field(default_factory=dict)
    address_by_handle: dict[str, str] = field(default_factory=dict)
    others_by_address: dict[str, tuple] = field(default_factory=dict)

    def used(self, address, now):
        """Return the bytes in use at time `now`; results end with their lifetime.

        >>> room = ResultRoom()
        >>> room.reserve("a", 3)
        >>> room.keep("a", "h", 5, until=10.0)
        >>> room.used("a", 9.0), room.used("a", 11.0)
        (8, 3)
        """
        kept = self.kept_by_address.get(address)
        own = self.reserved_by_address.get(address, 0)
        if kept is not None:
            while kept.ends and kept.ends[0][0] <= now:
                self.free(heappop(kept.ends)[1])
            own += kept.total
        others, until = self.others_by_address.get(address, (0, 0.0))
        return own + (others if now < until else 0)

    def note_free(self, address, free, room, until):
        """Count what an upstream says of its room as others' results, for a time.

        They may be those of a gateway that is gone.
        """
        self.others_by_address.pop(address, None)
        others = max(0, room - free - self.used(address, until))
        self.others_by_address[address] = (others, until)

    def reserve(self, address, size):
        """Set room aside for a call."""
        before = self.reserved_by_address.get(address, 0)
        self.reserved_by_address[address] = before + size

    def unreserve(self, address, size):
        """Give back the room of a call that ended."""
        self.reserved_by_address[address] -= size

    def keep(self, address, handle, size, until):
        """Count a result until it is freed, or until its lifetime ends."""
        kept = self.kept_by_address.setdefault(address, _Kept())
        kept.size_by_handle[handle] = size
        kept.total += size
        heappush(kept.ends, (until, handle))
        self.address_by_handle[handle] = address

    def free(self, handle):
        """Count a result no more."""
        address = self.address_by_handle.pop(handle, None)
        if address is not None:
            kept = self.kept_by_address[address]
            kept.total -= kept.size_by_handle.pop(handle, 0)
