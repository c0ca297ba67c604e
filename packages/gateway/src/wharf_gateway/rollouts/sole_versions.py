"""Services of which only the version that a rollout introduces is left."""

from dataclasses import dataclass, field

__all__ = ["SoleVersions"]


@dataclass(slots=True)
class SoleVersions:
    """Since when services have had upstreams of a rollout's new version only.

    >>> sole = SoleVersions()
    >>> sole.update({"s"}, 5.0), sole.seconds("s", 7.0), sole.seconds("t", 7.0)
    ({'s'}, 2.0, None)
    >>> sole.update(set(), 8.0), sole.seconds("s", 8.0)
    ({'s'}, None)
    """

    _since_by_service: dict[str, float] = field(default_factory=dict)

    def update(self, services, now) -> set[str]:
        """Replace the services; return those that were added or removed."""
        before = self._since_by_service
        self._since_by_service = {name: before.get(name, now) for name in services}
        return before.keys() ^ self._since_by_service.keys()

    def seconds(self, service, now) -> float | None:
        """Return for how long a service has had one version only, None if it hasn't."""
        since = self._since_by_service.get(service)
        return None if since is None else now - since

    def __contains__(self, service):
        return service in self._since_by_service
