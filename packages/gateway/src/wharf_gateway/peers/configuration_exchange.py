"""Handing newer configurations on between gateways."""

import json
from dataclasses import dataclass, field

import structlog

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
ANSWER_SECONDS = 1.0  # before another gateway is asked
MAX_SOURCES = 8  # gateways that are remembered to have the newest version


@dataclass(slots=True)
class _Offer:
    """A newer version, the links to gateways that have it, and its parts so far."""

    version: int
    heard_at: float
    links: list = field(default_factory=list)
    asked: object = None
    asked_at: float = float("-inf")
    part_by_index: dict = field(default_factory=dict)


class ConfigurationExchange:
    """Tell peers the version of this gateway's configuration, and ask for newer ones.

    A store that comes back from a copy may show an older configuration to gateways
    that have just started; others know the newer one. Documents are validated as if
    the store had shown them.
    """

    def __init__(self, fleet, peers, clock):
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._started_at = clock()
        self._announced = None
        self._offer = None

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
        self._ask(now)

    def handle_notice(self, message, link, now):
        """Remember a peer that has a newer version."""
        newest = self._offer.version if self._offer else None
        if self._is_known(message.version):
            return
        if newest is None or message.version > newest:
            self._offer = _Offer(message.version, now)
        if message.version >= self._offer.version:
            self._offer.links = [*self._offer.links, link][:MAX_SOURCES]

    def handle_request(self, message, link):
        """Send this gateway's configuration if it is the version that is asked for."""
        stored = self._fleet.configuration_object
        if stored is None or self._fleet.configuration.version < message.version:
            return
        document = json.dumps(stored.spec, separators=(",", ":")).encode()
        parts = [
            document[begin : begin + MAX_PART_BYTES]
            for begin in range(0, len(document), MAX_PART_BYTES)
        ]
        if len(parts) > MAX_PARTS:
            log.warning("configuration_too_large", size=len(document))
            return
        for index, data in enumerate(parts):
            link.post(ConfigurationPart(stored.name, index, len(parts), data))

    def handle_part(self, message, link, now):
        """Add a part of the configuration that was asked for; apply it when whole."""
        offer = self._offer
        if offer is None or link is not offer.asked:
            return
        offer.part_by_index[message.index] = message.data
        if len(offer.part_by_index) < message.count:
            return
        parts = [data for _, data in sorted(offer.part_by_index.items())]
        offer.asked, offer.asked_at, offer.part_by_index = None, float("-inf"), {}
        try:
            spec = json.loads(b"".join(parts))
        except ValueError as error:
            log.warning("configuration_rejected", detail=str(error))
            return
        log.info("configuration_received", peer=link.name, version=offer.version)
        self._fleet.apply_configurations([StoredObject(message.name, 0, spec)], now)

    def _is_known(self, version):
        configuration = self._fleet.configuration
        return configuration is not None and configuration.version >= version

    def _ask(self, now):
        """Ask the next peer that has the newest version, unless one may yet answer."""
        offer = self._offer
        if offer is None:
            return
        if self._is_known(offer.version):
            self._offer = None
            return
        is_starting = now - self._started_at < START_SECONDS
        delay = START_ASK_DELAY_SECONDS if is_starting else ASK_DELAY_SECONDS
        if now - offer.heard_at < delay or now - offer.asked_at < ANSWER_SECONDS:
            return
        offer.links = [link for link in offer.links if not link.is_closed]
        if not offer.links:
            self._offer = None
            return
        offer.asked, offer.asked_at, offer.part_by_index = offer.links.pop(0), now, {}
        offer.asked.post(ConfigurationRequest(offer.version))
