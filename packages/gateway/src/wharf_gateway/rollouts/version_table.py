"""The version of each service that serves its requests."""

from collections import Counter
from dataclasses import dataclass, field

from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = ["VersionTable"]


@dataclass(slots=True)
class VersionTable:
    """The last rollout order and the version in use of each service.

    A new version without an order gets no requests while the previous version has
    upstreams, since its order may not have arrived here yet. A version that was chosen
    as the most common one is given up if an order names it as the new one.
    """

    order_by_service: dict = field(default_factory=dict)
    _version_by_service: dict[str, str] = field(default_factory=dict)
    _presumed: set[str] = field(default_factory=set)

    def apply(self, order):
        """Apply a new order or a change of its outcome."""
        self.order_by_service[order.service] = order
        service, target = order.service, order.target
        if order.outcome is RolloutOutcome.FINISHED:
            self._version_by_service[service] = target
            self._presumed.discard(service)
        elif service in self._presumed and self._version_by_service[service] == target:
            del self._version_by_service[service]
            self._presumed.discard(service)

    def version(self, service, versions, is_sole=False):
        """Return the version in use, None if there is none.

        `versions` has the version of each upstream; the most common one is used at
        first, except the target of an order that is not finished. That is used only
        while `is_sole` says that no other version is left.

        >>> table = VersionTable()
        >>> table.version("s", ["v1", "v1", "v2"]), table.version("s", ["v2", "v2"])
        ('v1', 'v2')
        """
        order = self.order_by_service.get(service)
        if is_sole and order is not None and order.target in versions:
            return order.target
        current = self._version_by_service.get(service)
        if current in versions:
            return current
        is_target_allowed = order is None or order.outcome is RolloutOutcome.FINISHED
        excluded = None if is_target_allowed else order.target
        counts = Counter(version for version in versions if version != excluded)
        if not counts:
            return None
        version = counts.most_common(1)[0][0]
        self._version_by_service[service] = version
        self._presumed.add(service)
        return version

    def unfinished_targets(self):
        """Return the target of each service's order unless that is finished."""
        return {
            service: order.target
            for service, order in self.order_by_service.items()
            if order.outcome is not RolloutOutcome.FINISHED
        }

    def canary_version(self, service):
        """Return the new version of an open order, None if there is none."""
        order = self.order_by_service.get(service)
        return order.target if order is not None and order.is_open else None
