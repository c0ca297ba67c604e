"""The platform's delayed list of live and leaving hosts."""

from dataclasses import dataclass, field

from wharf_platform import PlatformHost

__all__ = ["HostList"]


@dataclass(slots=True)
class HostList:
    """A list of hosts that shows each change after a delay of `lag` seconds."""

    lag: float = 2.0
    _changes: list[tuple[float, str, PlatformHost | None]] = field(default_factory=list)

    def put(self, host: PlatformHost, now):
        """Add or change a host."""
        self._changes.append((now, host.name, host))

    def remove(self, name, now):
        """Remove a host."""
        self._changes.append((now, name, None))

    def shown(self, now) -> list[PlatformHost]:
        """Return the hosts as they were `lag` seconds ago."""
        host_by_name = {}
        for at, name, host in self._changes:
            if at + self.lag <= now:
                host_by_name[name] = host
        return [host for host in host_by_name.values() if host is not None]
