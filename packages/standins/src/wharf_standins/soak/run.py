"""One run of the soak test: gateways, upstreams, a store, clients and faults."""

import asyncio
import signal
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from wharf_standins.soak.checks import check_requests
from wharf_standins.soak.client import SoakClient
from wharf_standins.soak.fault import LINK_KINDS, schedule
from wharf_standins.soak.finding import Finding
from wharf_standins.soak.gateway_process import GatewayProcess
from wharf_standins.soak.proxy import Proxy
from wharf_standins.soak.request import (
    DIRECT_KINDS,
    RequestKind,
    ResponseState,
    SoakRequest,
)
from wharf_standins.soak.store import SoakStore
from wharf_standins.soak.upstream import SoakUpstream
from wharf_standins.soak.wire import configuration, upstream_entry

__all__ = ["SoakRun"]

GATEWAY_COUNT = 2
UPSTREAM_COUNT = 3
CLIENTS_PER_GATEWAY = 3
START_SECONDS = 15.0  # importing the modules takes 1 s, more on a busy machine
# How long an unplanned fault may have effect after its end: gateways regain lost
# contact within 3 s.
RECOVERY_SECONDS = 3.5
# An upstream serves for 2 s after it began to drain; the rest allows for requests
# already on their way.
DRAIN_SECONDS = 2.3
SETTLE_SECONDS = 4.0  # after this time without faults every request must succeed
FINAL_REQUEST_COUNT = 10


class SoakRun:
    """Run gateways under the faults of one seed and check the guarantees."""

    def __init__(self, seed, seconds):
        self._rng = Random(seed)
        self.faults = schedule(seed, seconds)
        self._seconds = seconds
        self._numbers = count()
        self._request_by_id = {}
        self._draining_since_by_upstream = {}
        self._unplanned_until = float("-inf")
        self._version = 1

    async def run(self, folder=None):
        """Run and return the findings; the gateways log to `folder`."""
        if folder is not None:
            return await self._run(Path(folder))
        with TemporaryDirectory() as temporary:
            return await self._run(Path(temporary))

    async def _run(self, folder):
        self._clock = asyncio.get_running_loop().time
        self._store = SoakStore()
        await self._store.start()
        await self._store.put("config", "main", configuration(self._version))
        self._upstreams, self._proxies = [], []
        for _ in range(UPSTREAM_COUNT):
            await self._add_upstream()
        self._gateways = [
            GatewayProcess(f"gateway-{number}", folder, self._store.port)
            for number in range(GATEWAY_COUNT)
        ]
        try:
            for gateway in self._gateways:
                await gateway.start()
            await self._wait_until_ready()
            await self._inject_faults()
            return (
                check_requests(self._request_by_id.values())
                + await self._check_recovery()
            )
        finally:
            for gateway in self._gateways:
                await gateway.kill()
            for part in (*self._proxies, *self._upstreams):
                part.stop()
            await self._store.stop()

    async def _inject_faults(self):
        clients = [
            asyncio.create_task(self._client(gateway).run())
            for gateway in self._gateways
            for _ in range(CLIENTS_PER_GATEWAY)
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

    async def _check_recovery(self):
        """Return a finding for each request that fails once the faults are over."""
        await asyncio.sleep(SETTLE_SECONDS)
        findings = []
        for gateway in self._gateways:
            client = self._client(gateway)
            for number in range(FINAL_REQUEST_COUNT):
                request = await client.send(DIRECT_KINDS[number % len(DIRECT_KINDS)])
                if request.status != 200 or request.state is not ResponseState.COMPLETE:
                    detail = f"{gateway.name}: {request.status}, {request.state}"
                    findings.append(Finding("served after faults", request.id, detail))
        return findings

    def _client(self, gateway):
        rng = Random(self._rng.random())
        return SoakClient(
            gateway, rng, self._new_request, self._is_undisturbed, self._clock
        )

    def _new_request(self, kind, gateway_name):
        request = SoakRequest(
            f"{next(self._numbers):016x}", kind, gateway_name, self._clock()
        )
        self._request_by_id[request.id] = request
        return request

    def _is_undisturbed(self, since):
        return self._unplanned_until + RECOVERY_SECONDS < since

    def _record_run(self, upstream, request_id):
        now = self._clock()
        request = self._request_by_id[request_id]
        request.run_times.append(now)
        draining_since = self._draining_since_by_upstream.get(upstream.name)
        if draining_since is not None and now > draining_since + DRAIN_SECONDS:
            request.runs_after_draining += self._is_undisturbed(draining_since)

    async def _add_upstream(self):
        name = f"upstream-{len(self._upstreams)}"
        upstream = SoakUpstream(name, self._record_run)
        proxy = Proxy(await upstream.start())
        await proxy.start()
        self._upstreams.append(upstream)
        self._proxies.append(proxy)
        entry = upstream_entry(f"127.0.0.1:{proxy.port}")
        await self._store.put("servers", name, entry)

    async def _wait_until_ready(self):
        async with asyncio.timeout(START_SECONDS):
            for gateway in self._gateways:
                client = self._client(gateway)
                while (await client.send(RequestKind.SAFE)).status != 200:
                    await asyncio.sleep(0.1)
        self._request_by_id.clear()

    async def _inject(self, fault, started_at):
        await asyncio.sleep(max(0.0, started_at + fault.at - self._clock()))
        gateway = self._gateways[fault.target % GATEWAY_COUNT]
        if not fault.is_planned:
            self._unplanned_until = float("inf")
        match fault.kind:
            case "hup":
                gateway.send_signal(signal.SIGHUP)
            case "stop":
                await gateway.restart(signal.SIGTERM)
            case "kill":
                await gateway.restart(signal.SIGKILL, fault.seconds)
            case "pause":
                gateway.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                gateway.send_signal(signal.SIGCONT)
            case "forget":
                self._store.compact_history()
            case "configure":
                self._version += 1
                await self._store.put("config", "main", configuration(self._version))
            case kind if kind in LINK_KINDS:
                await self._inject_link_fault(fault)
            case mode:
                self._store.mode = mode
                await asyncio.sleep(fault.seconds)
                self._store.mode = "up"
        if not fault.is_planned:
            self._unplanned_until = self._clock()

    async def _inject_link_fault(self, fault):
        number = fault.target % len(self._proxies)
        proxy, upstream = self._proxies[number], self._upstreams[number]
        if fault.kind == "reset":
            proxy.reset()
        elif fault.kind == "leave":
            await self._add_upstream()
            entry = upstream_entry(f"127.0.0.1:{proxy.port}", "draining")
            await self._store.put("servers", upstream.name, entry)
            self._draining_since_by_upstream.setdefault(upstream.name, self._clock())
        else:
            proxy.mode = fault.kind
            await asyncio.sleep(fault.seconds)
            proxy.mode = "pass"
            proxy.reset()
