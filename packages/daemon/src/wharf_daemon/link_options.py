"""Options of the WebSocket links between entries and sidecars."""

from wharf_wire import MAX_FRAME_BYTES
from wharf_wire.limits import MAX_QUEUED_FRAMES

__all__ = ["LINK_OPTIONS"]

OPEN_TIMEOUT_SECONDS = 3.0
CLOSE_TIMEOUT_SECONDS = 2.0
PING_INTERVAL_SECONDS = 5.0
PING_TIMEOUT_SECONDS = 10.0

# Pings detect a peer whose host or network failed without closing the link.
LINK_OPTIONS = {
    "compression": None,
    "max_size": MAX_FRAME_BYTES,
    "max_queue": MAX_QUEUED_FRAMES,
    "open_timeout": OPEN_TIMEOUT_SECONDS,
    "close_timeout": CLOSE_TIMEOUT_SECONDS,
    "ping_interval": PING_INTERVAL_SECONDS,
    "ping_timeout": PING_TIMEOUT_SECONDS,
}
