"""Options that let the kernel notice a peer that has gone silent."""

import socket

__all__ = ["detect_silence"]

# A silent peer is noticed after about three seconds, the shortest time in which
# the operators expect a host that lost its path to be told from a slow one.
PROBE_AFTER_SECONDS = 1
PROBE_EVERY_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_MS = 3000


def detect_silence(transport):
    """Probe an idle connection and bound the wait for acknowledgements."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
