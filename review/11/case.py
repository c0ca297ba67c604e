"""A part that crashes runners stands behind many others in its prompts."""

import asyncio
import os
import random
import time
from pathlib import Path

from engine import Engine
from store import Store
from system import HAS_TROUBLE, Client, GatewayProcess, run

CONTACT_SECONDS = 3.0  # contactMs
MOST = 3  # requests with the part, later than contactMs after the fifth crash
WARM_SECONDS, SECONDS = 6, 50  # sound requests alone, then both
SOUND_PER_S, DEADLY_PER_S = 6.0, 0.5
# A session: a part for its instructions and one for each turn before this one.
TURNS = 40
# PART=early, to compare, has the deadly part among the first ones.
PLACE = 2 if os.environ.get("PART") == "early" else TURNS - 2

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "condition-report",
            "hostname": "reports.example",
            "pathPrefix": "/reports/",
            "service": "llm",
            "routeKind": "stream",
            "timeoutMs": 5000,
            "sloMs": 1000,
            "itlTargetMs": 400,
            "maxAttempts": 2,
            "priority": 1,
            "isPublic": True,
            "isSticky": True,
            "isResumable": True,
        }
    ],
    "services": [
        {
            "name": "llm",
            "healthPath": "/healthz",
            "maxConns": 370,
            "engine": {"slots": 64, "kvCapacity": 399952},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 10000,
        "idleTimeoutMs": 30000,
    },
}
SHARED = [f"{0x5C1E07A2 + 977 * n:08x}" for n in range(TURNS)]
DEADLY = "dead07a2"


def prompt(is_deadly):
    """Return a prompt; those with the deadly part share all other parts."""
    parts = list(SHARED)
    if is_deadly:
        parts[PLACE] = DEADLY
    parts.append(f"{random.getrandbits(32):08x}")
    return ",".join(f"{part}:70" for part in parts)


async def case(record, folder):
    """Play the case; return the breaches."""
    store = Store()
    address = await store.start()
    await store.write("config", "main", CONFIGURATION)
    engines = [
        Engine(store, f"i-{n}f3a91c2", "llm", record, f"dc-{1 + n % 3}", deadly=DEADLY)
        for n in range(6)
    ]
    for engine in engines:
        await engine.start()
    gateways = [
        GatewayProcess(f"edge-dc-{n}-1", f"dc-{n}", address, folder) for n in (1, 2, 3)
    ]
    sent_at = {}
    sound = set()
    counts = {"sound": {}, "deadly": {}}
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.until_ready()
        await asyncio.sleep(CONTACT_SECONDS + 1)

        async def call(is_deadly):
            client = Client(random.choice(gateways), record)
            began = time.monotonic()
            extra = (
                ("Vanillawharf-Model", "m"),
                ("Vanillawharf-Token-Count", f"{70 * TURNS + 70},80"),
                ("Vanillawharf-Prefix-Hash", prompt(is_deadly)),
            )
            attempt, answer = await client.call(
                "POST", "reports.example", "/reports/1", 5000, b"{}", extra
            )
            client.close()
            sent_at[attempt] = began
            if not is_deadly:
                sound.add(attempt)
            status = "cut" if answer is None else answer.status
            found = counts["deadly" if is_deadly else "sound"]
            found[status] = found.get(status, 0) + 1

        async def call_again_and_again(rate, is_deadly):
            tasks = []
            if is_deadly:
                await asyncio.sleep(WARM_SECONDS)
            ends = began_at + WARM_SECONDS + SECONDS
            while time.monotonic() < ends:
                tasks.append(asyncio.ensure_future(call(is_deadly)))
                await asyncio.sleep(random.uniform(0.5, 1.5) / rate)
            await asyncio.gather(*tasks)

        began_at = time.monotonic()
        kinds = [call_again_and_again(SOUND_PER_S, False)]
        if HAS_TROUBLE:
            kinds.append(call_again_and_again(DEADLY_PER_S, True))
        await asyncio.gather(*kinds)
    finally:
        for gateway in gateways:
            await gateway.stop()
    crashes = sorted(at for engine in engines for at in engine.crashes)
    since = crashes[4] + CONTACT_SECONDS if len(crashes) >= 5 else float("inf")
    late = [
        attempt
        for engine in engines
        for _, attempt in engine.deadly_arrivals
        if sent_at.get(attempt, 0.0) > since
    ]
    print(
        f"crashes: {len(crashes)}; sound: {counts['sound']}; deadly: {counts['deadly']}"
    )
    print(f"with the part, over {CONTACT_SECONDS} s after the fifth crash: {len(late)}")
    breaches = []
    if len(late) > MOST:
        text = f"BUDGET: {len(late)} requests with a deadly part after the fifth crash"
        breaches.append(text)
    begun = {attempt for engine in engines for _, attempt in engine.arrivals}

    def share_begun(since, until):
        sent = [a for a in sound if since <= sent_at[a] < until]
        share = sum(a in begun for a in sent) / len(sent) if len(sent) >= 20 else None
        print(f"sound requests: {len(sent)} sent, share begun {share}")
        return share

    calm = share_begun(began_at, began_at + WARM_SECONDS)
    last = crashes[4] if len(crashes) >= 5 else max(crashes, default=float("inf"))
    ends = began_at + WARM_SECONDS + SECONDS
    beside = share_begun(last + 2 * CONTACT_SECONDS, ends)
    if calm is not None and beside is not None and beside < calm / 2:
        text = f"LOST: sound requests begin {beside:.2f} as often, {calm:.2f} before"
        breaches.append(text)
    return breaches


run(case, Path(__file__).parent)
