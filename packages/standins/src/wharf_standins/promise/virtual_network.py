"""Processes that share one clock, and the connections between them."""

from types import SimpleNamespace

from wharf_standins.promise.virtual_host import VirtualHost
from wharf_standins.promise.virtual_transport import VirtualTransport

__all__ = ["VirtualNetwork"]

LATENCY_SECONDS = 0.001
MAX_STEPS_AT_ONCE = 100_000  # without any progress of time


class VirtualNetwork:
    """Run hosts deterministically in virtual time, without real connections.

    `hold(a, b, seconds)` lets nothing arrive between two hosts for a while.
    """

    def __init__(self):
        self.now = 0.0
        self.hosts = []
        self._listener_by_address = {}
        self._held_until = {}
        self._is_closed = False

    def add_host(self, name):
        """Return a new process."""
        host = VirtualHost(name, self)
        self.hosts.append(host)
        return host

    def hold(self, one, other, seconds):
        """Let nothing arrive between two hosts, by name, for `seconds`."""
        self._held_until[frozenset((one, other))] = self.now + seconds

    def run_until(self, when):
        """Run all processes until a time."""
        steps, since = 0, self.now
        while True:
            host = min(self.hosts, key=VirtualHost.next_time)
            next_time = host.next_time()
            if next_time > when:
                break
            self.now = max(self.now, next_time)
            steps = steps + 1 if self.now == since else 0
            since = self.now
            if steps > MAX_STEPS_AT_ONCE:
                raise RuntimeError(f"{host.name} runs without end")
            host.step()
        self.now = when

    def close(self):
        """End all processes, so that nothing of them runs later."""
        self._is_closed = True
        for host in self.hosts:
            host.discard()

    def listen(self, host, factory, address):
        """Accept the connections to an address; return a server that can be closed."""
        if address in self._listener_by_address:
            raise OSError(f"{address} is in use")
        self._listener_by_address[address] = (host, factory)

        def close():
            self._listener_by_address.pop(address, None)

        async def wait_closed():
            pass

        return SimpleNamespace(
            close=close,
            wait_closed=wait_closed,
            sockets=(),
            is_serving=lambda: address in self._listener_by_address,
            get_loop=lambda: host,
        )

    def forget_servers(self, host):
        """Close the servers of a process that has ended."""
        for address, (owner, _) in list(self._listener_by_address.items()):
            if owner is host:
                del self._listener_by_address[address]

    async def connect(self, host, factory, address):
        """Return the transport of a new connection from `host`."""
        future = host.create_future()
        transport = VirtualTransport(host, self)

        def accept():
            if address not in self._listener_by_address:
                host.arrive_at(self.now + LATENCY_SECONDS, refuse)
                return
            owner, make = self._listener_by_address[address]
            other = VirtualTransport(owner, self)
            transport.peer, other.peer = other, transport
            owner.arrive_at(self.now, lambda: other.attach(make()))
            host.arrive_at(self.now + LATENCY_SECONDS, finish)

        def refuse():
            host.transports.discard(transport)
            if not future.done():
                future.set_exception(ConnectionRefusedError(f"{address} refuses"))

        def finish():
            if future.done():
                transport._end(None)
                return
            transport.attach(factory())
            future.set_result(None)

        # The system accepts, also for a process that is paused.
        self._kernel.arrive_at(self.now + LATENCY_SECONDS, accept)
        await future
        return transport

    def send(self, transport, receive):
        """Let the other side of a transport receive something."""
        peer = transport.peer
        if peer is None or self._is_closed:
            return
        path = frozenset((transport.host.name, peer.host.name))
        held_until = self._held_until.get(path, float("-inf"))
        when = max(self.now + LATENCY_SECONDS, held_until)
        peer.host.arrive_at(when, lambda: receive(peer))

    @property
    def _kernel(self):
        return self.hosts[0]
