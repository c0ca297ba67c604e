"""Retrieval of newer configurations from peers."""

import asyncio

__all__ = ["ConfigurationFetcher"]

RESPONSE_TIMEOUT_SECONDS = 0.5


class ConfigurationFetcher:
    """Request newer configurations from one peer at a time.

    Peers announce their revisions in short notices, and a process requests only
    documents newer than its own. So each process receives a document about once
    rather than once per link. If no newer document arrives within
    `RESPONSE_TIMEOUT_SECONDS`, a randomly chosen peer with a newer revision is
    asked.
    """

    def __init__(self, feed, rng):
        self._feed = feed
        self._rng = rng
        self._revision_by_peer = {}
        self._retry = None
        feed.documents.subscribe(self._on_document)

    def observe_revision(self, peer, revision):
        """Record that `peer` has `revision` and request it if it is newer."""
        self._revision_by_peer[peer] = revision
        if self._retry is None:
            self._request_newer()

    def remove_peer(self, peer):
        """Discard the revision of a peer whose link was lost."""
        self._revision_by_peer.pop(peer, None)

    def _request_newer(self):
        self._retry = None
        current = self._feed.document.revision
        newer_peers = [
            peer
            for peer, revision in self._revision_by_peer.items()
            if revision > current
        ]
        if newer_peers:
            peer = self._rng.choice(newer_peers)
            asyncio.ensure_future(peer.request_configuration())
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(RESPONSE_TIMEOUT_SECONDS, self._request_newer)

    def _on_document(self, document):
        if self._retry:
            self._retry.cancel()
            self._request_newer()
