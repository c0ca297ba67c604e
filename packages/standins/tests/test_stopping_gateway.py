"""Gateways that stop or pause under load end no request without an answer."""

import asyncio
import signal
from contextlib import asynccontextmanager, suppress
from functools import partial
from itertools import count
from random import Random

import pytest
import pytest_asyncio

from wharf_coordination.rendezvous import ranked
from wharf_gateway.stages.pool import EVERYWHERE
from wharf_standins.soak.checks import check_requests
from wharf_standins.soak.client import SoakClient
from wharf_standins.soak.request import RequestKind, SoakRequest
from wharf_standins.soak.step_upstream import StepUpstream
from wharf_standins.soak.upstream import SoakUpstream
from wharf_standins.soak.wire import configuration

START_SECONDS = 20.0
LOG_SIZE = 1 << 20
# When the requests of clients with open connections are sent after a stop began.
LATE_SECONDS = (0.3, 0.8, 1.3, 1.7, 2.0, 2.3)
PAUSE_SECONDS = 1.0
SILENT_SECONDS = 1.2
STOP_INTERVAL_SECONDS = 1.0
BUSY_CLIENTS = 6


class Site:
    """Gateways before upstreams, and the requests sent to them by id."""

    def __init__(self, call_seconds):
        self.gateways = []
        self.findings = None
        self.request_by_id = {}
        self._call_seconds = call_seconds
        self._numbers = count()
        results = {}
        self.engines = [
            SoakUpstream(f"engine-{number}", self._record_run, results)
            for number in range(2)
        ]
        self.upstreams = [
            *self.engines,
            StepUpstream("encoder-0", results, call_seconds),
        ]
        self._tasks = []

    @property
    def configuration(self):
        return configuration(1, self._call_seconds)

    @property
    def preparer(self):
        """Return the gateway that prepares for all."""
        name = ranked(EVERYWHERE, [gateway.name for gateway in self.gateways])[0]
        return next(gateway for gateway in self.gateways if gateway.name == name)

    @property
    def others(self):
        return [g for g in self.gateways if g is not self.preparer]

    def client(self, gateway, kinds=tuple(RequestKind)):
        rng = Random(len(self._tasks))
        clock = asyncio.get_running_loop().time
        return SoakClient(
            gateway, rng, self._new_request, lambda since: True, clock, kinds
        )

    async def wait_until_ready(self):
        for gateway in self.gateways:
            client = self.client(gateway)
            try:
                async with asyncio.timeout(START_SECONDS):
                    while (await client.send(RequestKind.SAFE)).status != 200:
                        await asyncio.sleep(0.1)
                client.close()
            except TimeoutError:
                pytest.fail(f"{gateway.name} serves nothing:\n{gateway.output()}")
        try:
            async with asyncio.timeout(START_SECONDS):
                while not all(map(self._is_linked, self.gateways)):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            pytest.fail("the gateways aren't linked to each other")
        self.request_by_id.clear()

    def _is_linked(self, gateway):
        log = gateway.output(LOG_SIZE)
        return all(
            f'"peer": "{other.name}", "state": "ready"' in log
            for other in self.gateways
            if other is not gateway
        )

    def keep_busy(self, gateway, clients, kinds=(RequestKind.STEPS,)):
        """Let clients send requests without a pause until the end."""
        for _ in range(clients):
            self._tasks.append(asyncio.create_task(self.client(gateway, kinds).run()))

    async def send_late(self, gateway, seconds):
        """Send a request with steps on an open connection, after `seconds`."""
        client = self.client(gateway)
        await client.send(RequestKind.SAFE)
        await asyncio.sleep(seconds)
        await client.send(RequestKind.STEPS)
        client.close()

    async def finish(self):
        """Stop the clients and return what violates the gateways' guarantees."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return [str(found) for found in check_requests(self.request_by_id.values())]

    def _new_request(self, kind, gateway_name):
        now = asyncio.get_running_loop().time()
        request = SoakRequest(f"{next(self._numbers):016x}", kind, gateway_name, now)
        self.request_by_id[request.id] = request
        return request

    def _record_run(self, upstream, request_id):
        with suppress(KeyError):  # sent before the site was ready
            now = asyncio.get_running_loop().time()
            self.request_by_id[request_id].run_times.append(now)


@asynccontextmanager
async def _play(run_gateways, gateway_count, call_seconds):
    """Run a site, and check all requests at the end."""
    site = Site(call_seconds)
    async with run_gateways(
        gateway_count, site.configuration, site.upstreams
    ) as site.gateways:
        await site.wait_until_ready()
        yield site
        site.findings = await site.finish()


async def _send_late(site, gateway, act):
    """Send requests on open connections after `act`, until each one has ended."""
    late = [
        asyncio.create_task(site.send_late(gateway, seconds))
        for seconds in LATE_SECONDS
    ]
    await asyncio.sleep(0.1)
    await act()
    await asyncio.gather(*late)


async def _stop_beside_waiting_steps(run_gateways):
    async with _play(run_gateways, 2, 0.5) as site:
        gateway = site.others[0]
        site.keep_busy(site.preparer, BUSY_CLIENTS)
        await asyncio.sleep(0.5)
        await _send_late(site, gateway, partial(_stop, gateway))
    return site


async def _stop_preparer(run_gateways):
    async with _play(run_gateways, 2, 0.25) as site:
        site.keep_busy(site.others[0], 2 * BUSY_CLIENTS)
        await asyncio.sleep(0.5)
        await _send_late(site, site.preparer, partial(_stop, site.preparer))
    return site


async def _stop_in_turn(run_gateways):
    async with _play(run_gateways, 3, 0.5) as site:

        async def restart(gateway, seconds):
            await asyncio.sleep(seconds)
            await _send_late(site, gateway, partial(gateway.restart, signal.SIGTERM))

        for gateway in site.gateways:
            site.keep_busy(gateway, 2, (RequestKind.STEPS, RequestKind.SAFE))
        await asyncio.gather(
            *(
                restart(gateway, number * STOP_INTERVAL_SECONDS)
                for number, gateway in enumerate(site.gateways)
            )
        )
    return site


async def _stop_before_silent_engines(run_gateways):
    async with _play(run_gateways, 1, 0.05) as site:
        for engine in site.engines:
            engine.silent_seconds = SILENT_SECONDS
        (gateway,) = site.gateways
        await _send_late(site, gateway, partial(_stop, gateway))
    return site


async def _pause_preparer(run_gateways):
    async with _play(run_gateways, 2, 0.1) as site:
        preparer = site.preparer
        site.keep_busy(site.others[0], BUSY_CLIENTS)
        await asyncio.sleep(0.5)
        preparer.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_SECONDS)
        preparer.send_signal(signal.SIGCONT)
        await asyncio.sleep(2 * PAUSE_SECONDS)
    return site


async def _stop(gateway):
    gateway.send_signal(signal.SIGTERM)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def sites(run_gateways):
    """Return the played sites by play; the plays run at the same time."""
    played = await asyncio.gather(*(play(run_gateways) for play in PLAYS))
    return dict(zip(PLAYS, played, strict=True))


PLAYS = (
    _stop_beside_waiting_steps,
    _stop_preparer,
    _stop_in_turn,
    _stop_before_silent_engines,
    _pause_preparer,
)


def _assert_clean(site):
    assert not site.findings, "\n".join(site.findings)


# A request that came after the SIGTERM waited for its steps until the process ended.
def test_stop_ends_no_request_that_waits_for_its_steps(sites):
    _assert_clean(sites[_stop_beside_waiting_steps])


# Requests waited for the preparations of a gateway that ended before they did.
def test_stop_of_the_preparer_ends_no_request(sites):
    _assert_clean(sites[_stop_preparer])


# Requests of a stopping gateway waited for a preparer that was stopping as well.
def test_stops_in_turn_end_no_request(sites):
    _assert_clean(sites[_stop_in_turn])


# A stopping gateway must not end the stream of an engine that is silent for a while.
def test_stop_ends_no_request_at_a_silent_engine(sites):
    site = sites[_stop_before_silent_engines]
    _assert_clean(site)
    assert any(
        request.kind is RequestKind.STEPS and request.status == 200
        for request in site.request_by_id.values()
    )


# Requests must outlast a pause of the gateway that prepares them.
def test_pause_of_the_preparer_ends_no_request(sites):
    _assert_clean(sites[_pause_preparer])
