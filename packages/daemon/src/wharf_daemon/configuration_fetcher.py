"""Fetching of newer configurations from peers."""

import asyncio

__all__ = ["ConfigurationFetcher"]

ANSWER_SECONDS = 0.5


class ConfigurationFetcher:
    """Ask one peer at a time for a configuration newer than the one in force.

    Peers tell their revisions in short notices, and the one that is behind asks.
    So a document crosses the network about once for each process rather than
    once for each link. After `ANSWER_SECONDS` without an answer, the next request
    goes to any peer that is ahead.
    """

    def __init__(self, feed, rng):
        self._feed = feed
        self._rng = rng
        self._revision_by_peer = {}
        self._retry = None
        feed.documents.subscribe(self._on_document)

    def observe(self, peer, revision):
        """Note that `peer` holds `revision`, and fetch it if it is newer."""
        self._revision_by_peer[peer] = revision
        if self._retry is None:
            self._ask()

    def forget(self, peer):
        """Drop what is known of a peer whose link was lost."""
        self._revision_by_peer.pop(peer, None)

    def _ask(self):
        self._retry = None
        held = self._feed.document.revision
        ahead = [
            peer for peer, revision in self._revision_by_peer.items() if revision > held
        ]
        if ahead:
            peer = self._rng.choice(ahead)
            asyncio.ensure_future(peer.request_configuration())
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(ANSWER_SECONDS, self._ask)

    def _on_document(self, document):
        if self._retry:
            self._retry.cancel()
            self._ask()
