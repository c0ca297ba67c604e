"""Polling of the platform's host list for leaving upstreams."""

import asyncio

import structlog
from result import Ok

__all__ = ["HostPoller", "leaving_upstreams"]

POLL_INTERVAL_SECONDS = 2.0

log = structlog.get_logger(__name__)


def leaving_upstreams(hosts, upstreams):
    """Return the names of `upstreams` whose host is listed as leaving.

    Hosts are matched by address, with or without a port. The list may be out of
    date, so an upstream that isn't in it is judged by its link alone.
    """
    leaving = {host.address for host in hosts if host.state == "leaving"}
    return frozenset(
        name
        for name, upstream in upstreams.items()
        if upstream.address in leaving or upstream.address.rpartition(":")[0] in leaving
    )


class HostPoller:
    """Poll the host list and exclude leaving upstreams from new calls.

    While the store is unavailable, the last list stays in effect.
    """

    def __init__(self, client, feed, links, rng):
        self._client = client
        self._feed = feed
        self._links = links
        self._rng = rng

    async def run(self):
        """Poll the list until cancelled."""
        while True:
            match await self._client.hosts():
                case Ok(hosts):
                    self._apply(hosts)
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * POLL_INTERVAL_SECONDS)

    def _apply(self, hosts):
        upstreams = self._feed.document.folder.upstreams
        leaving = leaving_upstreams(hosts, upstreams)
        if leaving != self._links.leaving:
            log.info("leaving_upstreams_changed", upstreams=sorted(leaving))
            self._links.leaving = leaving
