"""One link's part in the spread of configurations."""

import asyncio

from wharf_wire import ConfigurationRequest, RevisionNotice

__all__ = ["ConfigurationExchange"]


class ConfigurationExchange:
    """Keep the peer's revision, tell it ours, and hand over what it asks for.

    `send` sends a message unless the link is lost.
    """

    def __init__(self, feed, fetcher, metrics, send):
        self.peer_revision = 0
        self._told_revision = 0
        self._feed = feed
        self._fetcher = fetcher
        self._metrics = metrics
        self._send = send

    def observe(self, revision):
        """Take the revision that a message of the peer carries."""
        if revision > self.peer_revision:
            self.peer_revision = revision
            self._fetcher.observe(self, revision)
        self.notify()

    def notify(self):
        """Tell a peer that is behind, once for each revision."""
        revision = self._feed.document.revision
        if revision > max(self.peer_revision, self._told_revision):
            self._told_revision = revision
            # A task, since the reader must never wait for a write.
            asyncio.ensure_future(self._send(RevisionNotice(revision)))

    def offer(self):
        """Hand over the configuration in force, which the peer has asked for."""
        if self._feed.document.revision:
            self._metrics.configuration_offers.inc()
            asyncio.ensure_future(self._send(self._feed.message()))

    async def request_configuration(self):
        """Ask the peer for its configuration."""
        await self._send(ConfigurationRequest())

    def reset(self):
        """Forget the peer, whose link was lost."""
        self.peer_revision = self._told_revision = 0
        self._fetcher.forget(self)
