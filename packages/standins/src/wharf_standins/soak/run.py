"""One run of the soak test: gateways, upstreams, a store, clients and faults."""

import asyncio
import signal
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from wharf_standins.soak.checks import check_requests
from wharf_standins.soak.client import PAUSE_SECONDS, SoakClient
from wharf_standins.soak.configuration_checks import check_configuration
from wharf_standins.soak.disturbances import Disturbances
from wharf_standins.soak.fault import (
    CONFIGURATION_KINDS,
    LINK_KINDS,
    MAX_TARGET,
    schedule,
)
from wharf_standins.soak.finding import Finding
from wharf_standins.soak.gateway_process import GatewayProcess
from wharf_standins.soak.operator import SoakOperator
from wharf_standins.soak.proxy import Proxy
from wharf_standins.soak.request import (
    DIRECT_KINDS,
    RequestKind,
    ResponseState,
    SoakRequest,
)
from wharf_standins.soak.step_upstream import StepUpstream
from wharf_standins.soak.store import SoakStore
from wharf_standins.soak.upstream import SoakUpstream
from wharf_standins.soak.wire import upstream_entry
from wharf_standins.soak.word_watch import WordWatch

__all__ = ["SoakRun"]

GATEWAY_COUNT = 2
UPSTREAM_COUNT = 3
STEP_UPSTREAM_COUNT = 1
CLIENTS_PER_GATEWAY = 3
# Clients whose requests have steps; some leave their connections open and idle.
STEP_CLIENTS_PER_GATEWAY = 3
SLOW_CLIENTS_PER_GATEWAY = 2
SLOW_PAUSE_SECONDS = 2.0
# Of calls that run pieces: preparations wait for some calls of others.
MIN_CALL_SECONDS, MAX_CALL_SECONDS = 0.25, 0.5
START_SECONDS = 30.0  # importing the modules takes 1 s, more on a busy machine
# After the store's return from a copy, until what it lost is written again.
WRITE_AGAIN_SECONDS = 1.0
MIN_COPY_SECONDS, MAX_COPY_SECONDS = 0.5, 8.0
ENTRIES = "wharf-entries"  # the gateways' own, in the store
# An upstream serves for 2 s after it began to drain; the rest allows for requests
# already on their way.
DRAIN_SECONDS = 2.3
# Of the others while one leaves: longer than gateways expect of an upstream that they
# haven't used, so that they find the one that answers at once if they may use it.
STAYING_WORK_SECONDS = 0.06
SETTLE_SECONDS = 4.0  # after this time without faults every request must succeed
FINAL_KINDS = (*DIRECT_KINDS * 3, RequestKind.STEPS)
# What a fault affects; those of one gateway have its name.
GATEWAYS, STORE = "gateways", "store"


class SoakRun:
    """Run gateways under the faults of one seed and check the guarantees."""

    def __init__(self, seed, seconds, gateways=GATEWAY_COUNT):
        self._rng = Random(seed)
        self.faults = schedule(seed, seconds)
        self._seconds = seconds
        self._gateway_count = gateways
        self._numbers = count()
        self._request_by_id = {}
        self._draining_since_by_upstream = {}

    @property
    def pauses(self):
        """Return the seconds of long pauses of this process, which excuse losses."""
        return self._disturbances.pauses

    async def run(self, folder=None):
        """Run and return the findings; the gateways log to `folder`."""
        if folder is not None:
            return await self._run(Path(folder))
        with TemporaryDirectory() as temporary:
            return await self._run(Path(temporary))

    async def _run(self, folder):
        self._clock = asyncio.get_running_loop().time
        self._disturbances = Disturbances(self._clock)
        self._words = WordWatch(
            lambda gateway, *times: self._disturbances.is_calm(
                (GATEWAYS, gateway), *times
            )
        )
        self._store = SoakStore()
        await self._store.start()
        call_seconds = self._rng.uniform(MIN_CALL_SECONDS, MAX_CALL_SECONDS)
        self._operator = SoakOperator(
            self._store, Random(self._rng.random()), self._clock, call_seconds
        )
        await self._operator.start()
        self._upstreams, self._proxies, results = [], [], {}
        for _ in range(UPSTREAM_COUNT):
            await self._add_upstream(results)
        self._step_upstreams = [
            StepUpstream(f"encoder-{number}", results, call_seconds)
            for number in range(STEP_UPSTREAM_COUNT)
        ]
        for upstream in self._step_upstreams:
            address = f"127.0.0.1:{await upstream.start()}"
            entry = upstream_entry(address, service=upstream.service)
            await self._operator.put_upstream(upstream.name, entry)
        self._store.keep_copies()
        self._gateways = [
            GatewayProcess(f"gateway-{number}", folder, self._store.port)
            for number in range(self._gateway_count)
        ]
        watch = asyncio.create_task(self._disturbances.watch_pauses(GATEWAYS))
        try:
            for gateway in self._gateways:
                await gateway.start()
            await self._wait_until_ready()
            await self._inject_faults()
            findings = await self._check_recovery()
            findings += self._words.findings
            return self._check_requests() + self._check_configuration() + findings
        finally:
            watch.cancel()
            for gateway in self._gateways:
                await gateway.kill()
            for part in (*self._proxies, *self._upstreams, *self._step_upstreams):
                part.stop()
            await self._store.stop()

    async def _inject_faults(self):
        clients = [
            asyncio.create_task(client.run())
            for gateway in self._gateways
            for client in self._clients(gateway)
        ]
        is_over = asyncio.Event()
        probes = [
            asyncio.create_task(
                self._client(gateway).probe(self._operator.features, is_over)
            )
            for gateway in self._gateways
        ]
        started_at = self._clock()
        injections = [
            asyncio.create_task(self._inject(fault, started_at))
            for fault in self.faults
        ]
        await asyncio.gather(*injections)
        await asyncio.sleep(max(0.0, started_at + self._seconds - self._clock()))
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await asyncio.sleep(SETTLE_SECONDS)
        is_over.set()
        await asyncio.gather(*probes)

    def _clients(self, gateway):
        steps = (RequestKind.STEPS,)
        for _ in range(self._share(CLIENTS_PER_GATEWAY)):
            yield self._client(gateway)
        for _ in range(self._share(STEP_CLIENTS_PER_GATEWAY)):
            yield self._client(gateway, steps)
        for _ in range(self._share(SLOW_CLIENTS_PER_GATEWAY)):
            yield self._client(gateway, (RequestKind.SAFE, *steps), SLOW_PAUSE_SECONDS)

    def _share(self, clients):
        """Return how many of a gateway's clients there are, fewer for many gateways."""
        return max(1, clients * GATEWAY_COUNT // self._gateway_count)

    def _check_requests(self):
        """Return the findings in all requests, with pauses that are known by now."""
        requests = self._request_by_id.values()
        for request in requests:
            if request.ended_at is not None:
                request.is_undisturbed = self._disturbances.is_calm(
                    (GATEWAYS,), request.sent_at, request.ended_at
                )
        return check_requests(requests)

    def _check_configuration(self):
        return check_configuration(
            self._request_by_id.values(),
            self._operator.versions,
            lambda gateway, *times: self._disturbances.is_calm(
                (GATEWAYS, STORE, gateway), *times
            ),
            lambda gateway, *times: not self._disturbances.is_calm((GATEWAYS,), *times),
        )

    async def _check_recovery(self):
        """Return a finding for each request that fails once the faults are over.

        Also return one for each gateway that the store has forgotten.
        """
        findings = [
            Finding("gateways registered", "none", f"{name} has no entry")
            for name in {gateway.name for gateway in self._gateways}
            - self._store.names(ENTRIES)
        ]
        for gateway in self._gateways:
            client = self._client(gateway)
            for kind in FINAL_KINDS:
                request = await client.send(kind)
                if request.status != 200 or request.state is not ResponseState.COMPLETE:
                    detail = f"{gateway.name}: {request.status}, {request.state}"
                    findings.append(Finding("served after faults", request.id, detail))
            client.close()
        return findings

    def _client(self, gateway, kinds=DIRECT_KINDS, pause_seconds=PAUSE_SECONDS):
        return SoakClient(
            gateway,
            Random(self._rng.random()),
            self._new_request,
            self._is_undisturbed,
            self._clock,
            kinds,
            pause_seconds,
        )

    def _new_request(self, kind, gateway_name):
        request = SoakRequest(
            f"{next(self._numbers):016x}", kind, gateway_name, self._clock()
        )
        self._request_by_id[request.id] = request
        return request

    def _is_undisturbed(self, since):
        return self._disturbances.is_calm((GATEWAYS,), since, self._clock())

    def _record_run(self, upstream, request_id):
        now = self._clock()
        request = self._request_by_id[request_id]
        request.run_times.append(now)
        draining_since = self._draining_since_by_upstream.get(upstream.name)
        if draining_since is not None and now > draining_since + DRAIN_SECONDS:
            scopes = (GATEWAYS, STORE)
            request.runs_after_draining += self._disturbances.is_calm(scopes, now, now)

    def record_arrival(self, upstream, request_id):
        """Record that a request reached an upstream."""
        request = self._request_by_id.get(request_id)
        if request is not None:
            self._words.record_arrival(
                upstream, request.gateway, request_id, request.sent_at, self._clock()
            )

    def record_leaving(self, upstream, request_id):
        """Record that the answer to a request said that an upstream leaves."""
        request = self._request_by_id.get(request_id)
        if request is not None:
            self._words.record_leaving(upstream, request.gateway, self._clock())

    def record_quiet(self, upstream, request_id, seconds):
        """Record that the answer to a request asked for no more of them."""
        request = self._request_by_id.get(request_id)
        if request is not None:
            gateway = request.gateway
            self._words.record_quiet(upstream, gateway, seconds, self._clock())

    async def _add_upstream(self, results):
        name = f"upstream-{len(self._upstreams)}"
        upstream = SoakUpstream(name, self._record_run, results, self)
        proxy = Proxy(await upstream.start())
        await proxy.start()
        self._upstreams.append(upstream)
        self._proxies.append(proxy)
        entry = upstream_entry(f"127.0.0.1:{proxy.port}")
        await self._operator.put_upstream(name, entry)

    async def _wait_until_ready(self):
        async with asyncio.timeout(START_SECONDS):
            for gateway in self._gateways:
                client = self._client(gateway)
                while (await client.send(RequestKind.SAFE)).status != 200:
                    await asyncio.sleep(0.1)
                client.close()
        self._request_by_id.clear()

    async def _inject(self, fault, started_at):
        await asyncio.sleep(max(0.0, started_at + fault.at - self._clock()))
        gateway = self._gateways[fault.target % self._gateway_count]
        match fault.kind:
            case "hup":
                gateway.send_signal(signal.SIGHUP)
            case "stop":
                await self._stop(gateway)
            case "stops":
                await asyncio.gather(
                    *(
                        self._stop(gateway, number * fault.seconds)
                        for number, gateway in enumerate(self._gateways)
                    )
                )
            case "kill":
                with self._disturbances.during(GATEWAYS):
                    await gateway.restart(signal.SIGKILL, fault.seconds)
                    await gateway.until_listening(START_SECONDS)
            case "pause":
                with self._disturbances.during(GATEWAYS):
                    gateway.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(fault.seconds)
                    gateway.send_signal(signal.SIGCONT)
            case "restored":
                with self._disturbances.during(STORE):
                    await self._restore_store(fault)
                await asyncio.sleep(WRITE_AGAIN_SECONDS)
                await self._operator.write_again()
            case kind if kind in CONFIGURATION_KINDS:
                await self._operator.configure(kind)
            case "leave":
                await self._let_leave(fault.target % len(self._upstreams))
            case "say_leaving":
                await self._add_upstream(self._upstreams[0].owner_by_result)
                leaving = self._upstreams[fault.target % (len(self._upstreams) - 1)]
                leaving.is_leaving = True
            case "quiet":
                upstream = self._upstreams[fault.target % len(self._upstreams)]
                upstream.quiet_until = self._clock() + fault.seconds + 1.0
            case kind if kind in LINK_KINDS:
                with self._disturbances.during(GATEWAYS):
                    await self._disturb_link(fault)
            case _:
                with self._disturbances.during(STORE):
                    await self._disturb_store(fault)

    async def _stop(self, gateway, pause=0.0):
        await asyncio.sleep(pause)
        with self._disturbances.during(gateway.name):
            await gateway.restart(signal.SIGTERM)
            await gateway.until_listening(START_SECONDS)

    async def _restore_store(self, fault):
        self._store.mode = "away"
        await asyncio.sleep(fault.seconds)
        share = fault.target / MAX_TARGET
        spread = MAX_COPY_SECONDS - MIN_COPY_SECONDS
        self._store.restore(MIN_COPY_SECONDS + share * spread)
        self._store.mode = "up"

    async def _disturb_store(self, fault):
        if fault.kind == "forget":
            self._store.compact_history()
            return
        self._store.mode = fault.kind
        await asyncio.sleep(fault.seconds)
        self._store.mode = "up"

    async def _let_leave(self, number):
        proxy, upstream = self._proxies[number], self._upstreams[number]
        await self._add_upstream(upstream.owner_by_result)
        entry = upstream_entry(f"127.0.0.1:{proxy.port}", "draining")
        await self._operator.put_upstream(upstream.name, entry)
        self._draining_since_by_upstream.setdefault(upstream.name, self._clock())
        self._prefer_leaving()

    def _prefer_leaving(self):
        """Make upstreams that leave the fastest, which no gateway would pass over."""
        for upstream in self._upstreams:
            is_leaving = upstream.name in self._draining_since_by_upstream
            upstream.work_seconds = 0.0 if is_leaving else STAYING_WORK_SECONDS

    async def _disturb_link(self, fault):
        proxy = self._proxies[fault.target % len(self._proxies)]
        if fault.kind != "reset":
            proxy.mode = fault.kind
            await asyncio.sleep(fault.seconds)
            proxy.mode = "pass"
        proxy.reset()
