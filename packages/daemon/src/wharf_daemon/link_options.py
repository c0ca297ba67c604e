"""Options of the websocket connections between the system's own processes."""

from wharf_wire import MAX_FRAME_BYTES
from wharf_wire.limits import MAX_QUEUED_FRAMES

__all__ = ["LINK_OPTIONS"]

OPEN_SECONDS = 3.0
CLOSE_SECONDS = 2.0
PING_INTERVAL_SECONDS = 5.0
PING_TIMEOUT_SECONDS = 10.0

# The pings find a peer whose host or network went without closing the link.
LINK_OPTIONS = {
    "compression": None,
    "max_size": MAX_FRAME_BYTES,
    "max_queue": MAX_QUEUED_FRAMES,
    "open_timeout": OPEN_SECONDS,
    "close_timeout": CLOSE_SECONDS,
    "ping_interval": PING_INTERVAL_SECONDS,
    "ping_timeout": PING_TIMEOUT_SECONDS,
}
