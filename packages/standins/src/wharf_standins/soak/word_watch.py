"""What upstreams have said of themselves, and what gateways sent nevertheless."""

from collections import Counter

from wharf_standins.soak.finding import Finding

__all__ = ["WordWatch"]

LEAVE_SECONDS = 2.0  # requests that callers send later may not arrive
QUIET_AFTER_SECONDS = 0.5  # requests already on their way
MAX_IN_QUIET = 2


class WordWatch:
    """Record what each upstream answered each gateway, and check what arrives later.

    `is_calm(gateway, since, until)` returns whether nothing excuses the gateway.
    `findings` has the requests that should not have arrived.
    """

    def __init__(self, is_calm):
        self._is_calm = is_calm
        self._left_by_pair = {}
        self._quiet_by_pair = {}
        self._in_quiet = Counter()
        self.findings = []

    def record_leaving(self, upstream, gateway, now):
        """Record that an answer said that the upstream leaves."""
        self._left_by_pair.setdefault((upstream, gateway), now)

    def record_quiet(self, upstream, gateway, seconds, now):
        """Record that a 503 asked for no requests."""
        spans = self._quiet_by_pair.setdefault((upstream, gateway), [])
        spans.append((now, now + seconds))

    def record_arrival(self, upstream, gateway, request_id, sent_at, now):
        """Record a request that a caller sent at `sent_at` to a gateway."""
        pair = upstream, gateway
        left_at = self._left_by_pair.get(pair)
        if left_at is not None and sent_at > left_at + LEAVE_SECONDS:
            self._add("no requests once it leaves", request_id, gateway, left_at, now)
        for began, ends in self._quiet_by_pair.get(pair, ()):
            if began + QUIET_AFTER_SECONDS < now < ends:
                self._in_quiet[pair, began] += 1
                if self._in_quiet[pair, began] > MAX_IN_QUIET:
                    self._add("few requests in quiet", request_id, gateway, began, now)

    def _add(self, check, request_id, gateway, since, now):
        if self._is_calm(gateway, since, now):
            detail = f"from {gateway}, {now - since:.2f} s after the upstream's word"
            self.findings.append(Finding(check, request_id, detail))
