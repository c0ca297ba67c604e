"""A gateway's process in virtual time, which can be stopped and started again."""

from wharf_gateway.gateway import Gateway
from wharf_gateway.settings import GatewaySettings
from wharf_standins.promise.store_server import ADDRESS

__all__ = ["GatewayHost"]

STOP_SECONDS = 8.0
LATE_REQUEST_SECONDS = 3.0  # after the beginning of a stop


class GatewayHost:
    """Run a `Gateway` on a host of its own; `hosts` are all of its processes so far."""

    def __init__(self, name, address, network, seed):
        self.name = name
        self.address = address
        self._network = network
        self._seed = seed
        self.hosts = []
        self.gateway = None
        self.is_stopping = False
        self.stop_times = []

    @property
    def listen(self):
        """Return the address for callers."""
        return f"{self.address}:80"

    @property
    def host(self):
        """Return its current process."""
        return self.hosts[-1]

    def start(self):
        """Start a process."""
        self.is_stopping = False
        self.hosts.append(self._network.add_host(self.name))
        self._do(self._start())

    def stop(self):
        """Let the process end as after SIGTERM."""
        if not self.is_stopping:
            self.is_stopping = True
            self.stop_times.append(self._network.now)
            self._do(self._stop())

    def may_cut(self, request):
        """Return whether a stop allows it to end a request that an upstream still runs.

        The operators allow that in the last sixth of the time that a process has to
        stop, for requests that were sent soon after its beginning.
        """
        return bool(request.runs) and any(
            request.sent_at <= stop + LATE_REQUEST_SECONDS
            and stop + 5 / 6 * STOP_SECONDS <= request.ended_at <= stop + STOP_SECONDS
            for stop in self.stop_times
        )

    def _do(self, coroutine):
        host = self.host
        host.arrive_at(self._network.now, lambda: host.create_task(coroutine))

    async def _start(self):
        settings = GatewaySettings(
            name=self.name,
            data_centre="a",
            host=self.address,
            listen=self.listen,
            ready_listen=f"{self.address}:81",
            peer_port=82,
            stop_seconds=STOP_SECONDS,
            store=ADDRESS,
            seed=self._seed,
        )
        self.gateway = Gateway(settings)
        await self.gateway.start()

    async def _stop(self):
        await self.gateway.stop()
        self.host.end()
