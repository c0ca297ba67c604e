"""Shares what gateways see of upstreams' loads."""

from wharf_coordination.rendezvous import ranked
from wharf_gateway.peers.load_news import MAX_NEWS, LoadNews, with_ages

__all__ = ["LoadExchange", "digest_interval"]

DIGEST_SECONDS = 0.2
# A digest without news tells that there are none.
EMPTY_DIGEST_SECONDS = 0.6
# What the gateway that hands on news may send, a tenth of a link of 40 Mbit/s.
DIGEST_BYTES_PER_SECOND = 500_000
SEND_BYTES, REPORT_BYTES, HEAD_BYTES = 60, 40, 45  # measured, encoded


def digest_interval(sends, reports, peers):
    """Return the seconds from a digest of so many items to the next one.

    >>> digest_interval(14, 28, 29), digest_interval(256, 256, 339) > 10
    (0.2, True)
    """
    size = HEAD_BYTES + sends * SEND_BYTES + reports * REPORT_BYTES
    return max(DIGEST_SECONDS, size * peers / DIGEST_BYTES_PER_SECOND)


class LoadExchange:
    """Send what this gateway sees to one that hands it on to all.

    That one is chosen by rendezvous among the gateways that are linked to all. If two
    are chosen, as views differ, each hands on what it gets. `is_enabled()` says
    whether loads are shared at all.
    """

    def __init__(self, name, view, peers, is_enabled, meter):
        self._name = name
        self._view = view
        self._peers = peers
        self.is_enabled = is_enabled
        self._meter = meter
        self._sends = []
        self._reports = []
        self._heard_at = float("-inf")
        self._due_at = float("-inf")
        self._sent_at = float("-inf")

    def handle(self, news, now):
        """Apply news of another gateway, and keep them if they are to be handed on."""
        if not self.is_enabled():
            return
        self._view.apply(news, now)
        if not news.is_digest:
            self._collect(news, now)

    def advance(self, now):
        """Send news, and a digest if it is due."""
        if not self.is_enabled():
            return
        links = {
            name: link
            for name, link in self._peers.responsive(now).items()
            if link.knows_loads
        }
        news = self._view.take_news(now)
        if news is not None:
            self._send(news, links, now)
        is_new = bool(self._sends or self._reports)
        is_alive = now - self._heard_at < EMPTY_DIGEST_SECONDS * 4
        pause = 0.0 if is_new else EMPTY_DIGEST_SECONDS
        if is_alive and now >= self._due_at and now - self._sent_at >= pause:
            self._post_digest(links.values(), now)

    def _send(self, news, links, now):
        names = {name for name in links if name in self._peers.candidates}
        if self._peers.is_candidate:
            names.add(self._name)
        if not names:
            return
        first = ranked("load digest", names)[0]
        if first == self._name:
            self._collect(news, now)
            return
        self._meter.count("wharf_load_news", "sent")
        links[first].post(news)

    def _collect(self, news, now):
        self._heard_at = now
        self._sends += [(o, i, now - age, *rest) for o, i, age, *rest in news.sends]
        self._reports += [(o, i, now - age, *rest) for o, i, age, *rest in news.reports]
        for items in (self._sends, self._reports):
            if len(items) > MAX_NEWS:
                self._meter.count("wharf_load_news", "dropped")
                del items[: len(items) - MAX_NEWS]

    def _post_digest(self, links, now):
        digest = LoadNews(
            with_ages(self._sends, now), with_ages(self._reports, now), is_digest=True
        )
        self._sends, self._reports = [], []
        # This gateway's own view is as complete as that of those it tells.
        self._view.shared_at = now
        self._sent_at = now
        peers = len(links)
        sizes = len(digest.sends), len(digest.reports)
        self._due_at = now + digest_interval(*sizes, peers) - DIGEST_SECONDS / 4
        self._meter.count("wharf_load_news", "digest")
        self._peers.post_to(links, digest)
