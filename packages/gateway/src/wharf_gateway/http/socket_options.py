"""Options and state of sockets."""

import array
import fcntl
import os
import select
import socket
import termios

__all__ = ["detect_dead_peer", "pending_error", "unacknowledged_bytes", "unread_data"]

# A dead peer is detected after about three seconds, the shortest time in which the
# operators expect an unreachable host to be distinguished from a slow one.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3000


def detect_dead_peer(transport):
    """Enable TCP keepalive and limit the wait for acknowledgements."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def pending_error(transport):
    """Return and clear the error that a socket has met, None if there is none."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return os.strerror(number) if number else None


def unread_data(transport):
    """Return the first byte that the event loop hasn't read, or no byte at the end.

    Return None if nothing has arrived.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    if not poll.poll(0):
        return None
    try:
        with sock.dup() as copy:
            return copy.recv(1, socket.MSG_PEEK)
    except OSError:
        return b""


def unacknowledged_bytes(transport):
    """Return how many sent bytes the peer's host hasn't taken, 0 if it isn't known."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]
