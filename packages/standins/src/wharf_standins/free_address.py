"""Free loopback addresses for processes that need one in their settings."""

import socket
from random import SystemRandom

__all__ = ["free_address"]

# Below the ephemeral ports: an outgoing connection could occupy one of those
# between its choice and its use.
FIRST_PORT = 10_000
LAST_PORT = 32_000
TRIES = 100


def free_address():
    """Return a HOST:PORT on which nothing listens."""
    rng = SystemRandom()
    for _ in range(TRIES):
        port = rng.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as listener:
            try:
                listener.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError(f"no free port found in {TRIES} attempts")
