"""An old heartbeat is executed after the entry of a leaving runner was removed."""

import asyncio
import random
import time
from pathlib import Path

from runner import Runner
from store import Store
from system import HAS_TROUBLE, Client, GatewayProcess, run

DRAIN_SECONDS = 2.0  # drainMs
CONTACT_SECONDS = 3.0  # contactMs
LATE_SECONDS = 5.9  # of the write; the kinds say 1 to 6 s
LINGER_SECONDS = 4.0  # how long it serves beyond drainMs, "at times many seconds"
GATEWAYS, PER_GATEWAY = 3, 3.0  # requests a second

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "hold-place",
            "hostname": "holds.example",
            "pathPrefix": "/holds/",
            "service": "ledger",
            "routeKind": "unsafe",
            "timeoutMs": 1500,
            "sloMs": 125,
            "maxAttempts": 1,
            "priority": 0,
            "isPublic": True,
        }
    ],
    "services": [{"name": "ledger", "healthPath": "/healthz", "maxConns": 110}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 30000,
    },
}


async def case(record, folder):
    """Play the case; return the breaches."""
    store = Store()
    address = await store.start()
    await store.write("config", "main", CONFIGURATION)
    names = ("i-2b90d4e7", "i-51c3a0f8", "i-7f3a91c2")
    runners = [
        Runner(store, name, "ledger", record, f"dc-{n}", work_seconds=0.1)
        for n, name in enumerate(names, 1)
    ]
    for runner in runners:
        await runner.start()
    gateways = [
        GatewayProcess(f"edge-dc-{n}-1", f"dc-{n}", address, folder)
        for n in range(1, GATEWAYS + 1)
    ]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.until_ready()
        await asyncio.sleep(CONTACT_SECONDS + 1)
        ends = time.monotonic() + 14
        counts = {}

        async def call_again_and_again(gateway):
            client = Client(gateway, record)
            while time.monotonic() < ends:
                await asyncio.sleep(random.uniform(0.5, 1.5) / PER_GATEWAY)
                _, answer = await client.call(
                    "POST", "holds.example", "/holds/1", 1500, b"{}"
                )
                status = None if answer is None else answer.status
                counts[status] = counts.get(status, 0) + 1
            client.close()

        clients = [asyncio.ensure_future(call_again_and_again(g)) for g in gateways]
        await asyncio.sleep(1)
        leaver = runners[-1]
        if HAS_TROUBLE:
            leaver.late_seconds = LATE_SECONDS
        lost_from = time.monotonic()
        while leaver.late_seconds is not None:
            await asyncio.sleep(0.02)
        # The store is stable again: contactMs have passed since the lost answer, and
        # the heartbeats since then were answered.
        await asyncio.sleep(CONTACT_SECONDS + 0.2)
        gone_at = await leaver.leave_without_notice(DRAIN_SECONDS + LINGER_SECONDS)
        record("store stable for", "", seconds=round(gone_at - lost_from, 2))
        await asyncio.gather(*clients)
    finally:
        for gateway in gateways:
            await gateway.stop()
    late = [
        (round(at - gone_at, 2), attempt)
        for at, attempt in leaver.arrivals
        if at > gone_at + DRAIN_SECONDS
    ]
    print(f"answers by status: {counts}")
    print(f"requests at {leaver.name} later than drainMs after its removal: {late}")
    if late:
        return [f"DRAIN: {len(late)} requests reached a runner that had left: {late}"]
    return []


run(case, Path(__file__).parent)
