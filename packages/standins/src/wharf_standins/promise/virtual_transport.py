"""One side of a connection in virtual time."""

import asyncio

__all__ = ["VirtualTransport"]

WINDOW_BYTES = 1 << 16  # that are sent and not yet taken by the other side
HIGH_WATER_BYTES = 1 << 16


class VirtualTransport(asyncio.Transport):
    """Pass bytes to `peer`, with the flow control and the closes of TCP.

    A side that closes with bytes unread resets the connection; what has arrived at the
    other side and wasn't taken yet is lost with a reset. `taken` counts the bytes that
    the protocol has got.
    """

    def __init__(self, host, network):
        super().__init__()
        self.host = host
        self._network = network
        self.peer = None
        self._protocol = None
        self._unsent = bytearray()
        self._unread = bytearray()
        self._in_flight = 0
        self._is_paused = False
        self._is_blocked = False
        self._is_closing = False
        self._sends_eof = False
        self._eof_sent = False
        self._eof_unread = False
        self._is_lost = False
        self.taken = 0
        self.taken_before_last = None
        self.closed_at = None
        host.transports.add(self)

    def attach(self, protocol):
        """Connect the protocol of this side."""
        self._protocol = protocol
        protocol.connection_made(self)
        self._take()

    def get_protocol(self):
        """Return the protocol."""
        return self._protocol

    def set_protocol(self, protocol):
        """Replace the protocol."""
        self._protocol = protocol

    def get_extra_info(self, name, default=None):
        """Return the default, as there is no socket."""
        return default

    def is_closing(self):
        """Return whether this side is closing or closed."""
        return self._is_closing

    def is_reading(self):
        """Return whether data is passed to the protocol."""
        return not self._is_paused and not self._is_closing

    def pause_reading(self):
        """Keep received data until reading is resumed."""
        self._is_paused = True

    def resume_reading(self):
        """Pass received data to the protocol again."""
        if self._is_paused:
            self._is_paused = False
            self.host.call_soon(self._take)

    def set_write_buffer_limits(self, high=None, low=None):
        """Keep the limits as they are."""

    def get_write_buffer_size(self):
        """Return the number of bytes that are not sent yet."""
        return len(self._unsent)

    def can_write_eof(self):
        """Return true."""
        return True

    def write(self, data):
        """Send data, as far as the other side takes it."""
        if self._is_lost or self._sends_eof:
            return
        if b"\r\nConnection: close\r\n" in data and self.taken_before_last is None:
            self.taken_before_last = self.taken
        self._unsent += data
        self._flush()
        if len(self._unsent) > HIGH_WATER_BYTES and not self._is_blocked:
            self._is_blocked = True
            self._protocol.pause_writing()

    def writelines(self, parts):
        """Send several pieces of data."""
        self.write(b"".join(parts))

    def write_eof(self):
        """Close the sending side once all data is sent."""
        self._sends_eof = True
        self._flush()

    def close(self):
        """Close once all data is sent."""
        if self._is_closing:
            return
        self._is_closing = True
        self.closed_at = self.host.time()
        if not self._unsent:
            self.host.call_soon(self._end, None)

    def abort(self):
        """Reset the connection at once."""
        self._is_closing = True
        self.closed_at = self.closed_at or self.host.time()
        self._unsent.clear()
        self._reset_peer()
        self.host.call_soon(self._end, None)

    def end_process(self):
        """Close as the system does when the process has ended."""
        self.closed_at = self.closed_at or self.host.time()
        self._is_closing = True
        if not self._is_lost:
            self._is_lost = True
            self._send_end()

    def _flush(self):
        room = WINDOW_BYTES - self._in_flight
        if self._unsent and room > 0:
            data = bytes(self._unsent[:room])
            del self._unsent[:room]
            self._in_flight += len(data)
            self._network.send(self, lambda peer: peer._receive(data))
        if self._unsent:
            return
        if self._is_blocked:
            self._is_blocked = False
            self._protocol.resume_writing()
        if self._is_closing:
            self.host.call_soon(self._end, None)
        elif self._sends_eof and not self._eof_sent:
            self._eof_sent = True
            self._network.send(self, lambda peer: peer._receive_eof())

    def _end(self, error):
        if self._is_lost:
            return
        self._is_lost = True
        self._is_closing = True
        self.closed_at = self.closed_at or self.host.time()
        self.host.transports.discard(self)
        if error is None:
            self._send_end()
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    def _send_end(self):
        if self._unread:
            self._reset_peer()
        elif not self._eof_sent:
            self._eof_sent = True
            self._network.send(self, lambda peer: peer._receive_eof())

    def _reset_peer(self):
        self._network.send(self, lambda peer: peer._receive_reset())

    # What arrives from the other side.

    def _receive(self, data):
        if self._is_lost:
            self._reset_peer()
            return
        self._unread += data
        self._take()

    def _receive_eof(self):
        self._eof_unread = True
        self._take()

    def _receive_reset(self):
        if not self._is_lost:
            self._unread.clear()
            self._unsent.clear()
            self._end(ConnectionResetError("reset by the other side"))

    def _receive_credit(self, size):
        self._in_flight -= size
        if not self._is_lost:
            self._flush()

    def _take(self):
        if self._protocol is None or self._is_paused or self._is_closing:
            return
        if self._unread:
            data = bytes(self._unread)
            self._unread.clear()
            self.taken += len(data)
            self._network.send(self, lambda peer: peer._receive_credit(len(data)))
            try:
                self._protocol.data_received(data)
            except Exception as error:
                # As the event loop's transports do.
                self.host.failures.append({"exception": error})
                self._is_closing = True
                self.host.call_soon(self._end, error)
                return
        if self._eof_unread and not self._is_paused and not self._is_closing:
            self._eof_unread = False
            if not self._protocol.eof_received():
                self.close()
