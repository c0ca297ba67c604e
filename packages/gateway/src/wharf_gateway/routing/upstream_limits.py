"""Learns the limits that upstreams name, and shares them among the gateways."""

import structlog

from wharf_coordination.rate_share import RateShare, rate_holders
from wharf_gateway.peers.messages import LimitItem, LimitNotice
from wharf_gateway.peers.turns import Turns
from wharf_gateway.routing.upstream_limit import UpstreamLimit

__all__ = ["UpstreamLimits"]

log = structlog.get_logger(__name__)

# A limit that no answer has named for this long has ended, as far as can be known; at
# low rates answers are rare.
VALID_SECONDS = 10.0
VALID_REQUESTS = 5
NOTICE_INTERVAL_SECONDS = 1.0
MAX_REPEATED = 128  # limits in one notice
# Others are told at once of a limit that differs by more than this factor.
NEWS_FACTOR = 1.2
# Pieces of steps are sent by one gateway, or by two while one takes over.
STEP_SHARE = 0.75
DEFAULT_GATEWAY_COUNT = 8  # assumed until the gateways are read from the store


class UpstreamLimits:
    """Keep all gateways together within the rates that upstreams name.

    The gateways that share an upstream's limit are chosen by rendezvous among the
    registered ones, so that all choose the same. One that learns of a limit, or of its
    end, tells the others; two that are linked to all repeat what they know each
    second. `names()` returns the names of the registered gateways.
    """

    def __init__(self, name, fleet, peers, names):
        self._name = name
        self._fleet = fleet
        self._peers = peers
        self._names = names
        self._turns = Turns(NOTICE_INTERVAL_SECONDS, MAX_REPEATED)

    def record_answer(self, upstream_id, rate, sent_at, now):
        """Record what the answer to a request that was sent at `sent_at` named.

        `rate` is in requests a second, or None.
        """
        state = self._fleet.state_by_id.get(upstream_id)
        if state is None:
            return
        limit = state.limit
        # An answer without a limit may have been overtaken by one that names it.
        if rate is None and (limit is None or sent_at <= limit.known_at):
            return
        if self._apply(state, rate, now, now):
            self._post([state], now)

    def handle_notice(self, message, now):
        """Apply what other gateways know, and hand on what was news to this one."""
        changed = []
        for item in message.items:
            state = self._fleet.state_by_id.get(item.upstream)
            if state is None or state.upstream.started_ms != item.started_ms:
                continue
            known_at = now - item.seconds_ago
            is_newer = state.limit is None or known_at > state.limit.known_at
            if is_newer and self._apply(state, item.rate, known_at, now):
                changed.append(state)
        if changed and self._peers.is_candidate:
            self._post(changed, now)

    def advance(self, now):
        """End limits that nobody has named for long, and repeat the others."""
        if not self._turns.is_due(now):
            return
        limited = [s for s in self._fleet.state_by_id.values() if s.limit is not None]
        for state in limited:
            self._expire(state, now)
            self._set_share(state, now)
        limited = [state for state in limited if state.limit.rate is not None]
        if limited and self._peers.is_repeater(now):
            self._post(self._turns.next_page(limited), now)

    def dump(self, now):
        """Return the limits in force, for operators."""
        return {
            name: {
                "rate": state.limit.rate,
                "own_rate": round(state.limit.share.rate, 3),
                "named_seconds_ago": round(now - state.limit.known_at, 3),
            }
            for name, state in self._fleet.state_by_id.items()
            if state.limit is not None and state.limit.rate is not None
        }

    def _apply(self, state, rate, known_at, now):
        """Apply a limit or its end; return whether others should be told at once."""
        if state.limit is None:
            state.limit = UpstreamLimit(None, known_at, RateShare(0.0, now))
        previous, state.limit.rate = state.limit.rate, rate
        state.limit.known_at = max(known_at, state.limit.known_at)
        if rate == previous:
            return False
        self._set_share(state, now)
        if not _is_news(previous, rate):
            return False
        log.info(
            "upstream_limit",
            upstream=state.upstream.id,
            rate=rate,
            previous=previous,
            own_rate=round(state.limit.share.rate, 3),
            known_seconds_ago=round(now - known_at, 3),
        )
        return True

    def _set_share(self, state, now):
        rate = state.limit.rate
        if rate is not None:
            if state.upstream.service in self._fleet.step_services:
                rate *= STEP_SHARE
            state.limit.share.set_part(rate, self._holders(state.upstream, rate), now)

    def _holders(self, upstream, rate):
        """Return how many gateways share a limit, 0 if this isn't one of them."""
        if upstream.service in self._fleet.step_services:
            return 1
        names = set(self._names())
        if not names:
            return DEFAULT_GATEWAY_COUNT
        holders = rate_holders(upstream.id, names | {self._name}, rate)
        return len(holders) if self._name in holders else 0

    def _expire(self, state, now):
        limit = state.limit
        if limit.rate is None:
            return
        requests_seconds = VALID_REQUESTS / limit.rate if limit.rate > 0 else 0.0
        if now - limit.known_at > max(VALID_SECONDS, requests_seconds):
            self._apply(state, None, now, now)

    def _post(self, states, now):
        items = tuple(
            LimitItem(
                state.upstream.id,
                state.upstream.started_ms,
                state.limit.rate,
                max(0.0, now - state.limit.known_at),
            )
            for state in states
        )
        self._peers.post_all(LimitNotice(items))


def _is_news(previous, rate):
    if previous is None or rate is None:
        return True
    low, high = sorted((previous, rate))
    return high > low * NEWS_FACTOR
