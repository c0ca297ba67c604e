"""A late second copy of a 503 meets the same request, which was sent once more."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins as s  # noqa: E402

SECONDS = 75.0
EXTRA_SHARE = 0.02  # of a runner's answers that have a second copy, at most
QUIET = 0.3  # what a full runner asks for, as Retry-After
UNSAFE_A_SECOND, SAFE_A_SECOND = 16, 8
# Other callers fill both runners for a moment.
FULL_EVERY, FULL_SECONDS = 1.0, 0.06


class FullRunner(s.Runner):
    """Turn requests away while full; the copy of such an answer may come once more.

    The copy comes late, where the next answer on its connection is expected.
    """

    def __init__(self, *arguments, trouble, **options):
        super().__init__(*arguments, **options)
        self._trouble = trouble
        self._answers = self._extras = 0

    async def serve(self, reader, writer):
        """Answer one request after the other, a late copy first if there is one."""
        late = b""
        while True:
            first, fields = await s.read_head(reader)
            await reader.readexactly(int(fields.get("content-length", 0)))
            if late:
                self._record.add("extra", runner=self.name, before=fields.get(s.ID))
                writer.write(late)
            late = await self._answer(fields, writer)
            await writer.drain()

    async def _answer(self, fields, writer):
        call = fields.get(s.ID)
        self._answers += 1
        if fields.get("vanillawharf-expect-instance") != self.name:
            self.send(writer, 421, call, b"")
        elif self.busy >= self.slots or self._record.now() % FULL_EVERY < FULL_SECONDS:
            lines = ["Vanillawharf-Not-Executed: 1", f"Retry-After: {QUIET}"]
            message = self.message(503, call, b"", lines)
            writer.write(message)
            self._record.add("full", runner=self.name, id=call)
            if self._trouble and self._extras + 1 <= EXTRA_SHARE * self._answers:
                self._extras += 1
                return message
        else:
            self.busy += 1
            try:
                await self.run(call, fields, writer)
            finally:
                self.busy -= 1
        return b""


async def play(record, folder, trouble, ends):
    """Play the case; return the violations of the rule."""
    store_host, runner_host, *hosts = s.loopback_hosts(4)
    store = s.Store(store_host, record)
    await store.start()
    runners = [
        FullRunner(
            runner_host,
            f"i-{n}",
            "holds",
            record,
            trouble=trouble and n == 0,
            slots=6,
            work=0.03,
        )
        for n in range(2)
    ]
    for runner in runners:
        await runner.start()
        store.write("servers", runner.name, runner.entry())
    routes = [
        s.route("hold", "holds", "unsafe", maxAttempts=3),
        s.route("price", "holds", "safe"),
    ]
    store.write(
        "config", "main", s.configuration(1, routes, [s.service("holds")], ["k1"])
    )
    gateways = [
        s.Gateway(f"edge-{n}", host, store.address, record, folder)
        for n, host in enumerate(hosts)
    ]
    for gateway in gateways:
        ends.append(gateway.end)
        await gateway.start()
    for gateway in gateways:
        if not await gateway.until_ready():
            raise RuntimeError("a gateway isn't ready")
    client, tasks, unsafe = s.Client(record), [], set()

    async def one(path, gateway):
        call, _ = await client.send(gateway, path, key="k1")
        if path.startswith("/hold/"):
            unsafe.add(call)

    began, number = s.clock(), 0
    while s.clock() - began < SECONDS:
        rate = UNSAFE_A_SECOND + SAFE_A_SECOND
        share = UNSAFE_A_SECOND / rate
        path = "/hold/x" if client._rng.random() < share else "/price/x"
        tasks.append(asyncio.ensure_future(one(path, gateways[number % len(gateways)])))
        number += 1
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    runs = {}
    for runner in runners:
        for _, call in runner.runs:
            runs[call] = runs.get(call, 0) + 1
    refused = {429, 503, 408, 421}
    found = [
        f"{c}: answered {client.results[c]} and has run"
        for c in sorted(unsafe)
        if runs.get(c) and client.results[c] in refused
    ]
    found += [
        f"{c}: not idempotent and ran {runs[c]} times"
        for c in sorted(unsafe)
        if runs.get(c, 0) > 1
    ]
    statuses = {}
    for status in client.results.values():
        statuses[status] = statuses.get(status, 0) + 1
    record.add("statuses", **{str(k): v for k, v in statuses.items()})
    print(statuses, [(r._answers, r._extras) for r in runners])
    return found


s.main(__file__, play)
