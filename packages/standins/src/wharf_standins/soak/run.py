"""One seed: gateways, upstreams, a store, callers and faults."""

import asyncio
import signal
from itertools import count
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from wharf_standins.soak.call import Call, CallKind, Ending
from wharf_standins.soak.caller import SoakCaller
from wharf_standins.soak.checks import broken_promises
from wharf_standins.soak.fault import LINK_KINDS, schedule
from wharf_standins.soak.finding import Finding
from wharf_standins.soak.gateway_process import GatewayProcess
from wharf_standins.soak.proxy import Proxy
from wharf_standins.soak.store import SoakStore
from wharf_standins.soak.upstream import SoakUpstream
from wharf_standins.soak.wire import configuration, upstream_entry

__all__ = ["SoakRun"]

GATEWAYS = 2
UPSTREAMS = 3
CALLERS = 3  # a gateway
START_SECONDS = 15.0  # a process takes one to import its modules, more beside load
# What unplanned trouble may disturb after its end: a touch is regained in three.
AFTERMATH_SECONDS = 3.5
# A leaving upstream serves two seconds more; a request on its way is no offence.
LEAVE_SECONDS = 2.3
HEALED_SECONDS = 4.0  # after the last fault everything is served again
LAST_CALLS = 10


class SoakRun:
    """Play a seed and return what was broken."""

    def __init__(self, seed, seconds):
        self._rng = Random(seed)
        self.faults = schedule(seed, seconds)
        self._seconds = seconds
        self._numbers = count()
        self._call_by_id = {}
        self._left_at_by_upstream = {}
        self._unplanned_until = float("-inf")
        self._version = 1

    async def play(self, folder=None):
        """Return the findings; logs of the gateways go to `folder`."""
        if folder is not None:
            return await self._play(Path(folder))
        with TemporaryDirectory() as temporary:
            return await self._play(Path(temporary))

    async def _play(self, folder):
        self._clock = asyncio.get_running_loop().time
        self._store = SoakStore()
        await self._store.start()
        await self._store.put("config", "main", configuration(self._version))
        self._upstreams, self._proxies = [], []
        for _ in range(UPSTREAMS):
            await self._add_upstream()
        self._gateways = [
            GatewayProcess(f"gateway-{number}", folder, self._store.port)
            for number in range(GATEWAYS)
        ]
        try:
            for gateway in self._gateways:
                await gateway.start()
            await self._wait_until_ready()
            await self._disturb()
            return broken_promises(self._call_by_id.values()) + await self._healed()
        finally:
            for gateway in self._gateways:
                await gateway.end()
            for part in (*self._proxies, *self._upstreams):
                part.stop()
            await self._store.stop()

    async def _disturb(self):
        callers = [
            asyncio.create_task(self._caller(gateway).run())
            for gateway in self._gateways
            for _ in range(CALLERS)
        ]
        began = self._clock()
        works = [
            asyncio.create_task(self._fault(fault, began)) for fault in self.faults
        ]
        await asyncio.gather(*works)
        await asyncio.sleep(max(0.0, began + self._seconds - self._clock()))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    async def _healed(self):
        """Return findings of requests after the last fault."""
        await asyncio.sleep(HEALED_SECONDS)
        findings = []
        for gateway in self._gateways:
            caller = self._caller(gateway)
            for number in range(LAST_CALLS):
                call = await caller.ask(list(CallKind)[number % len(CallKind)])
                if call.status != 200 or call.ending is not Ending.WHOLE:
                    detail = f"{gateway.name} gave {call.status}, {call.ending}"
                    findings.append(Finding("served after faults", call.id, detail))
        return findings

    def _caller(self, gateway):
        rng = Random(self._rng.random())
        return SoakCaller(gateway, rng, self._new_call, self._is_calm, self._clock)

    def _new_call(self, kind, gateway_name):
        call = Call(f"{next(self._numbers):016x}", kind, gateway_name, self._clock())
        self._call_by_id[call.id] = call
        return call

    def _is_calm(self, since):
        return self._unplanned_until + AFTERMATH_SECONDS < since

    def _note_run(self, upstream, call_id):
        now = self._clock()
        call = self._call_by_id[call_id]
        call.runs.append(now)
        left_at = self._left_at_by_upstream.get(upstream.name)
        if left_at is not None and now > left_at + LEAVE_SECONDS:
            call.late_runs += self._is_calm(left_at)

    async def _add_upstream(self):
        name = f"upstream-{len(self._upstreams)}"
        upstream = SoakUpstream(name, self._note_run)
        proxy = Proxy(await upstream.start())
        await proxy.start()
        self._upstreams.append(upstream)
        self._proxies.append(proxy)
        entry = upstream_entry(f"127.0.0.1:{proxy.port}")
        await self._store.put("servers", name, entry)

    async def _wait_until_ready(self):
        async with asyncio.timeout(START_SECONDS):
            for gateway in self._gateways:
                caller = self._caller(gateway)
                while (await caller.ask(CallKind.SAFE)).status != 200:
                    await asyncio.sleep(0.1)
        self._call_by_id.clear()

    async def _fault(self, fault, began):
        await asyncio.sleep(max(0.0, began + fault.at - self._clock()))
        gateway = self._gateways[fault.target % GATEWAYS]
        if not fault.is_planned:
            self._unplanned_until = float("inf")
        match fault.kind:
            case "hup":
                gateway.send(signal.SIGHUP)
            case "stop":
                await gateway.restart(signal.SIGTERM)
            case "kill":
                await gateway.restart(signal.SIGKILL, fault.seconds)
            case "pause":
                gateway.send(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                gateway.send(signal.SIGCONT)
            case "forget":
                self._store.forget_history()
            case "configure":
                self._version += 1
                await self._store.put("config", "main", configuration(self._version))
            case kind if kind in LINK_KINDS:
                await self._harm_link(fault)
            case mode:
                self._store.mode = mode
                await asyncio.sleep(fault.seconds)
                self._store.mode = "up"
        if not fault.is_planned:
            self._unplanned_until = self._clock()

    async def _harm_link(self, fault):
        number = fault.target % len(self._proxies)
        proxy, upstream = self._proxies[number], self._upstreams[number]
        if fault.kind == "reset":
            proxy.reset()
        elif fault.kind == "leave":
            await self._add_upstream()
            entry = upstream_entry(f"127.0.0.1:{proxy.port}", "draining")
            await self._store.put("servers", upstream.name, entry)
            self._left_at_by_upstream.setdefault(upstream.name, self._clock())
        else:
            proxy.mode = fault.kind
            await asyncio.sleep(fault.seconds)
            proxy.mode = "pass"
            proxy.reset()
