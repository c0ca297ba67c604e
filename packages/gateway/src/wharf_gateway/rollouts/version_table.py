"""The version of each service that serves its requests."""

from collections import Counter
from dataclasses import dataclass, field

from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["VersionTable"]


@dataclass(slots=True)
class VersionTable:
    """The last rollout order and the version in use of each service.

    A new version without an order gets no requests while the previous version has
    upstreams, since its order may not have arrived here yet.
    """

    order_by_service: dict = field(default_factory=dict)
    _version_by_service: dict[str, str] = field(default_factory=dict)

    def apply(self, order):
        """Apply a new order or a change of its outcome."""
        self.order_by_service[order.service] = order
        if order.outcome is RolloutOutcome.FINISHED:
            self._version_by_service[order.service] = order.target

    def version(self, service, versions):
        """Return the version in use, None if there is none.

        `versions` has the version of each upstream; the most common one is used at
        first, except the target of an order that is not finished.

        >>> table = VersionTable()
        >>> table.version("s", ["v1", "v1", "v2"]), table.version("s", ["v2", "v2"])
        ('v1', 'v2')
        """
        current = self._version_by_service.get(service)
        if current in versions:
            return current
        order = self.order_by_service.get(service)
        is_target_allowed = order is None or order.outcome is RolloutOutcome.FINISHED
        excluded = None if is_target_allowed else order.target
        counts = Counter(version for version in versions if version != excluded)
        if not counts:
            return None
        version = counts.most_common(1)[0][0]
        self._version_by_service[service] = version
        return version

    def canary_version(self, service):
        """Return the new version of an open order, None if there is none."""
        order = self.order_by_service.get(service)
        return order.target if order is not None and order.is_open else None
