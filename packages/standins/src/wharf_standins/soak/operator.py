"""The operator and the upstreams, which write to the store."""

from dataclasses import replace

from wharf_standins.soak.configuration_version import ConfigurationVersion
from wharf_standins.soak.wire import configuration

__all__ = ["SoakOperator"]

SHORT_TIMEOUT_FACTOR = 0.8
PROBED_VERSIONS = 3
IDLE_SECONDS = 30.0
SHORT_IDLE_SECONDS = 3.0  # clients use connections that were idle for less


class SoakOperator:
    """Write configurations and upstreams' entries, again if the store lost them.

    `versions` are all versions of the configuration in their order.
    """

    def __init__(self, store, rng, clock, call_seconds):
        self._store = store
        self._rng = rng
        self._clock = clock
        self._call_seconds = call_seconds
        self._entry_by_name = {}
        self.versions = [
            _with_features(ConfigurationVersion(1, clock(), idle_seconds=IDLE_SECONDS))
        ]

    async def start(self):
        """Write the first version."""
        await self._write_configuration()

    async def configure(self, kind):
        """Write a new version, in which what `kind` names is different."""
        await self._store.until_reachable()
        self.versions.append(self.next_version(kind))
        await self._write_configuration()

    def next_version(self, kind):
        """Return a version in which what `kind` names differs from the last one."""
        last = self.versions[-1]
        number = last.number + self._rng.randint(1, 3)
        version = replace(
            last, number=number, written_at=self._clock(), added=frozenset()
        )
        match kind:
            case "route":
                return _with_features(version)
            case "timeout":
                is_usual = version.timeout_factor == 1.0
                factor = SHORT_TIMEOUT_FACTOR if is_usual else 1.0
                return replace(version, timeout_factor=factor)
            case "idle":
                is_usual = version.idle_seconds == IDLE_SECONDS
                seconds = SHORT_IDLE_SECONDS if is_usual else IDLE_SECONDS
                return replace(version, idle_seconds=seconds)
        return version

    async def put_upstream(self, name, entry):
        """Write an upstream's entry."""
        await self._store.until_reachable()
        self._entry_by_name[name] = entry
        await self._store.put("servers", name, entry)

    async def write_again(self):
        """Write all that was written before."""
        await self._store.until_reachable()
        await self._write_configuration()
        for name, entry in self._entry_by_name.items():
            await self._store.put("servers", name, entry)

    def features(self):
        """Return the routes and keys of the last versions, from the oldest."""
        return sorted(
            {
                f
                for version in self.versions[-PROBED_VERSIONS:]
                for f in version.features
            }
        )

    async def _write_configuration(self):
        version = self.versions[-1]
        document = configuration(
            version.number,
            self._call_seconds,
            version.features,
            version.timeout_factor,
            version.idle_seconds,
        )
        await self._store.put("config", "main", document)


def _with_features(version):
    names = frozenset((f"route-{version.number}", f"key-{version.number}"))
    return replace(version, features=names, added=names)
