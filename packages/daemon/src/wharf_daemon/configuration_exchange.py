"""Exchange of configurations with one peer."""

import asyncio

from wharf_wire import ConfigurationRequest, RevisionNotice

__all__ = ["ConfigurationExchange"]


class ConfigurationExchange:
    """Track the peer's revision, announce ours and answer its requests.

    `send` sends a message or drops it if the link is down.
    """

    def __init__(self, feed, fetcher, metrics, send):
        self.peer_revision = 0
        self._notified_revision = 0
        self._feed = feed
        self._fetcher = fetcher
        self._metrics = metrics
        self._send = send

    def observe_revision(self, revision):
        """Record the revision in a message from the peer."""
        if revision > self.peer_revision:
            self.peer_revision = revision
            self._fetcher.observe_revision(self, revision)
        self.notify_peer()

    def notify_peer(self):
        """Send a notice to a peer with an older revision, once per revision."""
        revision = self._feed.document.revision
        if revision > max(self.peer_revision, self._notified_revision):
            self._notified_revision = revision
            # Sent in a task, since reading must not wait for a write.
            asyncio.ensure_future(self._send(RevisionNotice(revision)))

    def send_configuration(self):
        """Send the current configuration, if there is one, to the peer."""
        if self._feed.document.revision:
            self._metrics.configuration_offers.inc()
            asyncio.ensure_future(self._send(self._feed.offer_message()))

    async def request_configuration(self):
        """Request the peer's configuration."""
        await self._send(ConfigurationRequest())

    def reset(self):
        """Discard the peer's state after its link was lost."""
        self.peer_revision = self._notified_revision = 0
        self._fetcher.remove_peer(self)
