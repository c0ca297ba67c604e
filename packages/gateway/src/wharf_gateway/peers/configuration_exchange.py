"""Handing newer configurations on between gateways."""

import json
from dataclasses import dataclass, field

import structlog
from pydantic_core import from_json

from wharf_coordination.backoff import Backoff
from wharf_gateway.peers.codec import encode
from wharf_gateway.peers.messages import (
    MAX_PART_BYTES,
    MAX_PARTS,
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
)
from wharf_gateway.store.stored_object import StoredObject

__all__ = ["ConfigurationExchange"]

log = structlog.get_logger(__name__)

# The store's news arrive sooner in most cases. A gateway that has just started may
# have read an older configuration, and asks sooner.
ASK_DELAY_SECONDS = 0.5
START_ASK_DELAY_SECONDS = 0.1
START_SECONDS = 5.0
# So that not all gateways ask at once, and most find several that have the version.
SPREAD_SECONDS = 0.05  # for each gateway
MAX_SPREAD_SECONDS = 1.0
START_SPREAD_SECONDS = 0.05
ANSWER_SECONDS = 1.0  # without a part, before another gateway is asked
RETRY_BACKOFF = Backoff(first=1.0, longest=10.0)  # for a gateway that didn't answer


@dataclass(slots=True)
class _Claim:
    """A newer version that a peer says it has, and its answer so far.

    `lot` is a random number by which peers with the same version are chosen. `asked` is
    the version that it was asked for and hasn't sent as a whole yet.
    """

    version: int
    heard_at: float
    lot: float = 0.0
    failures: int = 0
    retry_at: float = float("-inf")
    asked: int | None = None
    parts: list = field(default_factory=list)


class ConfigurationExchange:
    """Tell peers the version of this gateway's configuration, and ask for newer ones.

    A store that comes back from a copy may show an older configuration to gateways
    that have just started; others know the newer one. Documents are validated as if
    the store had shown them. While a linked peer claims a newer version, peers that do
    are asked in turn; a claim ends when the document isn't as claimed.
    """

    def __init__(self, fleet, peers, clock, rng):
        self._fleet = fleet
        self._peers = peers
        self._rng = rng
        self._started_at = clock()
        self._fraction = rng.random()
        self._stored = None
        self._frames = ()
        self._announced = None
        self._claim_by_link = {}
        self._asked_link = None
        self._answer_until = float("-inf")

    def greet(self, link):
        """Tell a peer that has just been linked the version that is known here."""
        if self._fleet.configuration is not None:
            link.post(ConfigurationNotice(self._fleet.configuration.version))

    def advance(self, now):
        """Tell all peers of a new version, and ask for a newer one if due."""
        configuration = self._fleet.configuration
        if configuration is not None and configuration.version != self._announced:
            self._announced = configuration.version
            self._peers.post_all(ConfigurationNotice(configuration.version))
        self._claim_by_link = {
            link: claim
            for link, claim in self._claim_by_link.items()
            if not link.is_closed and not self._is_known(claim.version)
        }
        self._ask(now)

    def handle_notice(self, message, link, now):
        """Remember the newer version that a peer claims, or that it has none."""
        if self._is_known(message.version):
            self._claim_by_link.pop(link, None)
            return
        claim = self._claim_by_link.get(link)
        if claim is None:
            if not self._claim_by_link:
                self._fraction = self._rng.random()
            claim = _Claim(message.version, now, self._rng.random())
            self._claim_by_link[link] = claim
        if message.version < claim.version:
            self._end_answer(claim, link)
        claim.version = message.version

    def handle_request(self, message, link):
        """Send this gateway's configuration, or its version if that is older.

        A request is ignored while the answer to the one before it is being sent.
        """
        stored = self._fleet.configuration_object
        if stored is None:
            return
        if self._fleet.configuration.version < message.version:
            self.greet(link)
            return
        if not link.is_transferring:
            if stored is not self._stored:
                self._stored, self._frames = stored, _encoded(stored)
            link.post_transfer(self._frames)

    def handle_part(self, message, link, now):
        """Add a part of the configuration that was asked for; apply it when whole."""
        claim = self._claim_by_link.get(link)
        if claim is None or claim.asked is None:
            return
        if link is self._asked_link:
            self._answer_until = now + ANSWER_SECONDS
        if message.index == 0:
            claim.parts.clear()
        if message.index != len(claim.parts):
            return
        claim.parts.append(message.data)
        if len(claim.parts) == message.count:
            document, version = b"".join(claim.parts), claim.asked
            self._end_answer(claim, link)
            self._apply(message.name, document, link, version, now)

    def _apply(self, name, document, link, version, now):
        """Apply a document, and drop the claim of its sender if it isn't as claimed."""
        try:
            spec = from_json(document, allow_inf_nan=False)
        except ValueError as error:
            log.warning("configuration_rejected", detail=str(error))
        else:
            log.info("configuration_received", peer=link.name, version=version)
            stored = StoredObject(name, 0, spec)
            self._fleet.apply_configurations([stored], now)
        if not self._is_known(version):
            log.warning("configuration_not_as_claimed", peer=link.name, version=version)
            del self._claim_by_link[link]

    def _end_answer(self, claim, link):
        claim.asked, claim.parts = None, []
        if link is self._asked_link:
            self._asked_link = None

    def _is_known(self, version):
        configuration = self._fleet.configuration
        return configuration is not None and configuration.version >= version

    def _ask(self, now):
        """Ask the next peer that claims a newer version, unless one may yet answer."""
        asked = self._claim_by_link.get(self._asked_link)
        if asked is not None:
            if now < self._answer_until:
                return
            asked.failures += 1
            asked.retry_at = now + RETRY_BACKOFF.delay(asked.failures, self._rng)
        self._asked_link = self._next_link(now)
        if self._asked_link is not None:
            claim = self._claim_by_link[self._asked_link]
            claim.asked = claim.version
            self._answer_until = now + ANSWER_SECONDS
            self._asked_link.post(ConfigurationRequest(claim.version))

    def _delay(self, now):
        """Return the seconds between the first claim and the first request."""
        if now - self._started_at < START_SECONDS:
            return START_ASK_DELAY_SECONDS + self._fraction * START_SPREAD_SECONDS
        spread = min(SPREAD_SECONDS * self._fleet.gateway_count, MAX_SPREAD_SECONDS)
        return ASK_DELAY_SECONDS + self._fraction * spread

    def _next_link(self, now):
        """Return the link to ask: few failures first, then the newest version."""
        claims = self._claim_by_link.values()
        heard_at = [claim.heard_at for claim in claims if not claim.failures]
        is_early = now - min(heard_at, default=now) < self._delay(now)
        due = {
            link: (claim.failures, -claim.version, claim.lot)
            for link, claim in self._claim_by_link.items()
            if now >= claim.retry_at and (claim.failures or not is_early)
        }
        return min(due, key=due.get, default=None)


def _encoded(stored):
    """Return the frames that hand a configuration on, none if it is too large."""
    document = json.dumps(stored.spec, separators=(",", ":")).encode()
    parts = [
        document[begin : begin + MAX_PART_BYTES]
        for begin in range(0, len(document), MAX_PART_BYTES)
    ]
    if len(parts) > MAX_PARTS:
        log.warning("configuration_too_large", size=len(document))
        return ()
    return tuple(
        encode(ConfigurationPart(stored.name, index, len(parts), data))
        for index, data in enumerate(parts)
    )
