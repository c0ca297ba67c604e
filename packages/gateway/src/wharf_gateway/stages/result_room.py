"""The room that results take up at the upstreams that made them."""

from dataclasses import dataclass, field

__all__ = ["ResultRoom"]


@dataclass(slots=True)
class ResultRoom:
    """Bytes by address: of results that are kept, and of calls under way."""

    reserved_by_address: dict[str, float] = field(default_factory=dict)
    kept_by_address: dict[str, dict] = field(default_factory=dict)
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
        kept = self.kept_by_address.get(address, {})
        for handle in [h for h, (_, until) in kept.items() if until <= now]:
            self.free(handle)
        own = sum(size for size, _ in kept.values())
        own += self.reserved_by_address.get(address, 0)
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
        self.kept_by_address.setdefault(address, {})[handle] = (size, until)
        self.address_by_handle[handle] = address

    def free(self, handle):
        """Count a result no more."""
        address = self.address_by_handle.pop(handle, None)
        if address is not None:
            self.kept_by_address[address].pop(handle, None)
