"""The links of an entry, kept in step with the configuration."""

import asyncio

from wharf_coordination import Candidate
from wharf_daemon.entry.sidecar_link import SidecarLink

__all__ = ["LinkSet"]


class LinkSet:
    """Open a link to each configured sidecar, and to the peers of the settings."""

    def __init__(self, entry, rng):
        self._entry = entry
        self._rng = rng
        self._task_by_address = {}
        self.by_address = {}

    def reconcile(self, addresses):
        """Open links to new addresses and close those no longer wanted."""
        wanted = set(addresses)
        for address in wanted - self.by_address.keys():
            link = SidecarLink(address, self._entry, self._rng)
            self.by_address[address] = link
            self._task_by_address[address] = asyncio.create_task(link.run())
        for address in self.by_address.keys() - wanted:
            del self.by_address[address]
            self._task_by_address.pop(address).cancel()

    def candidates(self, document, pool, version, excluded) -> list[Candidate]:
        """Return the upstreams of `pool` that could run a call of `version`."""
        folder = document.folder
        default_version = folder.pools[pool].version
        return [
            self._candidate(name, upstream, link, default_version)
            for name, upstream in folder.upstreams.items()
            if upstream.pool == pool
            and name not in excluded
            and upstream.data_centre not in document.out_data_centres
            and (upstream.version or default_version) == version
            and (link := self.by_address.get(upstream.address))
            and link.is_open
            and not link.load.leaving
        ]

    def _candidate(self, name, upstream, link, default_version):
        return Candidate(
            upstream=name,
            data_centre=upstream.data_centre,
            version=upstream.version or default_version,
            in_flight=max(link.in_flight, link.load.in_flight),
            limit=link.load.limit,
            service_time=link.load.service_time,
        )

    async def offer_configuration(self):
        """Hand the configuration to every sidecar that is behind."""
        offers = (link.offer_configuration() for link in self.by_address.values())
        await asyncio.gather(*offers)

    async def send_all(self, message):
        """Send a message over every open link."""
        await asyncio.gather(*(link.send(message) for link in self.by_address.values()))

    def close(self):
        """Close all links."""
        self.reconcile(())
