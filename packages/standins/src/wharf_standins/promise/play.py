"""One play: gateways, upstreams and callers on a site that is disturbed."""

from random import Random

from wharf_standins.promise.checks import Fault, Finding, faults
from wharf_standins.promise.disturbances import Disturbances
from wharf_standins.promise.gateway_host import GatewayHost
from wharf_standins.promise.play_caller import PlayCaller
from wharf_standins.promise.play_request import PlayRequest, RequestKind
from wharf_standins.promise.play_step_upstream import PlayStepUpstream
from wharf_standins.promise.play_upstream import PlayUpstream
from wharf_standins.promise.store_server import StoreServer
from wharf_standins.promise.virtual_network import VirtualNetwork

__all__ = ["Play"]

START_SECONDS = 2.0
EVENT_SECONDS = 12.0
EXTRA_SECONDS = 4.0  # in which callers still send
REST_SECONDS = 25.0  # until all requests have ended
GATEWAYS = 2
CALLERS = 6
KINDS = (
    *("configuration", "stop", "pause", "drain", "vanish", "crash", "evacuate"),
    *("hold", "store_away"),
)


class Play:
    """Play the events that a seed draws; `run()` returns the findings."""

    def __init__(self, seed):
        self.rng = rng = Random(seed)
        self.network = VirtualNetwork()
        self._world = self.network.add_host("world")
        server = StoreServer()
        self.store = server.store
        self._requests = {}
        unsound = rng.choice((0.0, 0.0, 0.1, 0.3))
        self.upstreams = [
            PlayUpstream(
                f"u{number}",
                "others" if number == 4 else "engines",
                f"10.0.1.{number}:80",
                self._requests,
                rng,
                unsound,
            )
            for number in range(1, 5)
        ]
        results = {}
        self.step_upstreams = [
            PlayStepUpstream(f"s{number}", f"10.0.2.{number}:80", results, rng)
            for number in (1, 2)
        ]
        self.gateways = [
            GatewayHost(
                f"edge-{n}", f"10.0.0.{n}", self.network, rng.randrange(1 << 30)
            )
            for n in range(1, GATEWAYS + 1)
        ]
        self._server = server
        self.disturbances = Disturbances(self)
        self.callers = []
        share = rng.choice((0.2, 0.5, 1.0))
        self.kinds = [kind for kind in KINDS if rng.random() < share]

    @property
    def request_count(self):
        """Return the number of requests that were sent whole."""
        return sum(r.sent_at is not None for r in self._requests.values())

    def run(self):
        """Return the findings."""
        try:
            return self._play()
        finally:
            self.network.close()

    def _play(self):
        network = self.network
        network.now = 0.0
        self._do(self._begin())
        for gateway in self.gateways:
            network.run_until(network.now + 0.05)
            gateway.start()
        network.run_until(START_SECONDS)
        for number in range(CALLERS):
            self._do(self._call(number))
        self._do(self.disturbances.run(EVENT_SECONDS, self.kinds))
        network.run_until(START_SECONDS + EVENT_SECONDS + REST_SECONDS)
        failures = [failure for host in network.hosts for failure in host.failures]
        findings = [
            Finding(fault, request)
            for request in self._requests.values()
            for fault in self._faults(request)
        ]
        for caller in self.callers:
            if caller.has_stray_bytes:
                findings.append(Finding(Fault.WRONG, caller.requests[0]))
        findings += [Finding(Fault.RAISED, failure) for failure in failures]
        return findings

    def _do(self, coroutine):
        world = self._world
        world.arrive_at(self.network.now, lambda: world.create_task(coroutine))

    async def _begin(self):
        await self._server.start()
        for upstream in (*self.upstreams, *self.step_upstreams):
            await upstream.start()
        self.disturbances.begin()

    async def _call(self, number):
        rng = self.rng
        requests = [
            PlayRequest(
                f"r{number}-{n}",
                rng.choice(list(RequestKind)),
                rng.choice((2.0, 4.0, 8.0)),
            )
            for n in range(rng.randint(3, 10))
        ]
        self._requests.update((request.id, request) for request in requests)
        network = self.network
        caller = PlayCaller(
            f"c{number}", self.gateways, requests, rng, lambda: network.now, network
        )
        self.callers.append(caller)
        await caller.run(START_SECONDS + EVENT_SECONDS + EXTRA_SECONDS)

    def _faults(self, request):
        timeout = self.disturbances.timeouts[request.kind]
        paused = self._paused_seconds(request)
        may_be_cut = self._may_be_cut(request)
        return faults(request, request.before, timeout, paused, may_be_cut)

    def _may_be_cut(self, request):
        """Return whether a stop may cut a request."""
        if request.ended_at is None or request.sent_at is None:
            return False
        gateways = [g for g in self.gateways if g.name == request.gateway]
        return any(g.may_cut(request) for g in gateways)

    def _paused_seconds(self, request):
        """Return how long a request's gateway or its caller was paused meanwhile."""
        if request.head_at is None or request.ended_at is None:
            return 0.0
        gateways = [g for g in self.gateways if g.name == request.gateway]
        pauses = [p for g in gateways for host in g.hosts for p in host.pauses]
        pauses += [p for c in self.callers if request in c.requests for p in c.pauses]
        return sum(
            max(0.0, min(end, request.ended_at) - max(begin, request.head_at))
            for begin, end in pauses
        )
