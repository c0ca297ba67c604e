"""The upstreams that the platform's list of hosts shows as leaving."""

import asyncio

import structlog
from result import Ok

__all__ = ["HostFeed", "leaving_upstreams"]

INTERVAL_SECONDS = 2.0

log = structlog.get_logger(__name__)


def leaving_upstreams(hosts, upstreams):
    """Return the names of `upstreams` that `hosts` shows as leaving.

    A host is matched by its address, with or without a port. The list lags, so
    that an upstream it doesn't show is judged by its link alone.
    """
    leaving = {host.address for host in hosts if host.state == "leaving"}
    return frozenset(
        name
        for name, upstream in upstreams.items()
        if upstream.address in leaving or upstream.address.rpartition(":")[0] in leaving
    )


class HostFeed:
    """Read the list from time to time and keep leaving upstreams from new calls.

    While the store is down the last list holds.
    """

    def __init__(self, client, feed, links, rng):
        self._client = client
        self._feed = feed
        self._links = links
        self._rng = rng

    async def run(self):
        """Read the list until cancelled."""
        while True:
            match await self._client.hosts():
                case Ok(hosts):
                    self._adopt(hosts)
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * INTERVAL_SECONDS)

    def _adopt(self, hosts):
        upstreams = self._feed.document.folder.upstreams
        leaving = leaving_upstreams(hosts, upstreams)
        if leaving != self._links.leaving:
            log.info("leaving_upstreams_changed", upstreams=sorted(leaving))
            self._links.leaving = leaving
