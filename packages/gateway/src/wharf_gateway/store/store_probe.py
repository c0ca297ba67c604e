"""What calls that ask only for the store's revision have shown."""

from dataclasses import dataclass

from wharf_gateway.store.store_position import StorePosition

__all__ = ["StoreProbe"]

VALID_SECONDS = 0.8  # twice the interval of a feeder's probes
# A store whose answers take longer is not lost, as long as they go on coming.
VALID_ROUND_TRIPS = 1.5
# An answer that seems to have taken longer was read late, after a pause of the process.
MAX_ROUND_TRIP_SECONDS = 1.5


@dataclass(slots=True)
class StoreProbe:
    """The newest position that an answer named, and until when it shows contact.

    Times are those of the event loop, in seconds.
    """

    position: StorePosition | None = None
    _valid_until: float = float("-inf")

    def record(self, position, sent_at, now):
        """Record an answer to a probe; it may be older than one known before."""
        seconds = min(now - sent_at, MAX_ROUND_TRIP_SECONDS)
        valid_until = sent_at + VALID_SECONDS + VALID_ROUND_TRIPS * seconds
        self._valid_until = max(self._valid_until, valid_until)
        known = self.position
        if known is None or known.era != position.era or position.includes(known):
            self.position = position

    def is_valid(self, now):
        """Return whether the store has answered just now."""
        return now < self._valid_until
