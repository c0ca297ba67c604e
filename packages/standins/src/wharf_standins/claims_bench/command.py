"""Command that measures claims."""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp

from wharf_coordination.claims import Claim, ClaimUnit, Finish, Granted
from wharf_daemon.http_server import HttpServer
from wharf_standins.claims_bench.claim_client import ClaimClients
from wharf_standins.claims_bench.measurement import Measurement
from wharf_standins.claims_bench.scheme import (
    GroupCommit,
    ObjectPerKey,
    PreferredWriter,
)
from wharf_standins.platform import Platform

__all__ = ["claims_bench"]

STORE_DELAY_SECONDS = 0.003
ANSWER = b'{"hold": "anvil 3", "until": "2026-12-01"}'
ENTRY_COUNTS = (1, 4, 16)
SCHEMES = (
    ObjectPerKey(),
    GroupCommit(0.0),
    GroupCommit(0.02),
    GroupCommit(0.05),
    PreferredWriter(0.0),
    PreferredWriter(0.02),
    PreferredWriter(0.05),
)


def claims_bench(*, rate: float = 600.0, seconds: float = 2.0, only: str = ""):
    """Measure latency and store calls of claims, each of them finished.

    :param rate: claims per second, of all entries together
    :param seconds: length of each run
    :param only: measure only schemes whose name contains this
    """
    print(Measurement.HEADER)
    for scheme in (scheme for scheme in SCHEMES if only in str(scheme)):
        for entries in ENTRY_COUNTS:
            print(asyncio.run(_measure(scheme, entries, rate, seconds)), flush=True)


async def _measure(scheme, entries, rate, seconds):
    platform = Platform(delay=STORE_DELAY_SECONDS)
    site = HttpServer(platform.application(), "127.0.0.1:0")
    await site.start()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        url = f"http://127.0.0.1:{site.port}"
        run = _Run(ClaimClients(session, url, scheme, entries))
        elapsed = await run.send_claims(entries, rate, seconds)
    await site.stop()
    calls = platform.calls_by_kind
    return Measurement(
        scheme=str(scheme),
        entries=entries,
        offered=rate,
        seconds=elapsed,
        latencies=run.latencies,
        refused=run.refused,
        writes=calls["write"],
        reads=calls["read"],
        written_bytes=platform.written_bytes,
    )


@dataclass
class _Run:
    clients: ClaimClients
    latencies: list[float] = field(default_factory=list)
    refused: int = 0

    async def send_claims(self, entries, rate, seconds):
        """Send claims open loop at `rate`; return the seconds until all have ended."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        tasks = []
        for number in range(round(rate * seconds)):
            await asyncio.sleep(max(0.0, begin + number / rate - loop.time()))
            tasks.append(asyncio.create_task(self._claim(number % entries, number)))
        await asyncio.gather(*tasks)
        return loop.time() - begin

    async def _claim(self, entry, number):
        loop = asyncio.get_running_loop()
        unit = ClaimUnit("acme", "hold", f"{int(time.time())}-{number}", "book")
        claim = Claim(unit.digest, f"token-{number}", unit.digest)
        begin = loop.time()
        outcome = await self.clients.apply(entry, unit, claim)
        if outcome.is_err() or outcome.unwrap() != Granted():
            self.refused += 1
            return
        self.latencies.append(loop.time() - begin)
        finish = Finish(unit.digest, claim.token, claim.body, ANSWER)
        await self.clients.apply(entry, unit, finish)
