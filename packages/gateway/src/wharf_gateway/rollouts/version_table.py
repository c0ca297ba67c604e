"""Which version of each service takes its requests."""

from collections import Counter
from dataclasses import dataclass, field

from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["VersionTable"]


@dataclass(slots=True)
class VersionTable:
    """Orders by service, and the versions that their outcomes leave in use.

    A version that comes without an order gets nothing while the one before has
    upstreams: its order may be on its way here.
    """

    order_by_service: dict = field(default_factory=dict)
    _version_by_service: dict[str, str] = field(default_factory=dict)

    def take(self, order):
        """Take an order, or what has become of it."""
        self.order_by_service[order.service] = order
        if order.outcome is RolloutOutcome.FINISHED:
            self._version_by_service[order.service] = order.target

    def version(self, service, versions):
        """Return the version in use; `versions` are those of its upstreams, listed.

        >>> table = VersionTable()
        >>> table.version("s", ["v1", "v1", "v2"]), table.version("s", ["v2", "v2"])
        ('v1', 'v2')
        """
        used = self._version_by_service.get(service)
        if used in versions:
            return used
        order = self.order_by_service.get(service)
        is_moved = order is None or order.outcome is RolloutOutcome.FINISHED
        barred = None if is_moved else order.target
        counts = Counter(version for version in versions if version != barred)
        if not counts:
            return None
        version = counts.most_common(1)[0][0]
        self._version_by_service[service] = version
        return version

    def canary_version(self, service):
        """Return the version that an open order brings, if there is one."""
        order = self.order_by_service.get(service)
        return order.target if order is not None and order.is_open else None
