"""A part of a prompt that crashes each runner once its first event is out."""

import asyncio
import itertools
import os
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from stand_ins_2 import (  # noqa: E402
    CASE_FAILED,
    CASE_HELD,
    CASE_IMPOSSIBLE,
    Gateway,
    Runner,
    Store,
    attempt_id,
    configuration,
    has_trouble,
    request_bytes,
    route,
    run_case,
    service,
)

RUNNERS = 6
GATEWAYS = 3
EVENTS = 9
EVENT_SECONDS = 0.05
AWAY_SECONDS = 4.0  # of a runner that crashed
SOUND_SECONDS = 0.15  # between sound requests
DEADLY_SECONDS = 1.0  # between requests with the deadly part
CONTACT_SECONDS = 3.0  # contactMs
CRASHES = 5  # after which the rule counts
MOST_LATE = 3  # requests with the part that may still reach runners
PLAY_SECONDS = 60.0
SHARED, SOUND, DEADLY = "5c1e07a2", "91bd3f06", "dead91bd"


class Engine(Runner):
    """A runner of streams that crashes as it begins an answer to the deadly part.

    `crashes` has the times of all crashes, `reached` pairs of the id of each request
    with that part and the time at which it came. With CRASH=head in the environment
    the crash comes behind the head of the answer, else in its second event.
    """

    def __init__(self, *arguments, crashes, reached):
        super().__init__(*arguments)
        self.crashes = crashes
        self.reached = reached
        self.is_up = True

    async def answer(self, method, target, fields, body, writer):
        """Answer one request with a stream of events."""
        call_id = fields.get("vanillawharf-attempt-id", "")
        is_other = fields.get("vanillawharf-expect-instance") != self.name
        if is_other or not call_id:
            return await super().answer(method, target, fields, body, writer)
        is_deadly = DEADLY in fields.get("vanillawharf-prefix-hash", "")
        now = asyncio.get_running_loop().time()
        if is_deadly:
            self.reached.append((call_id, now))
        self.record(f"runner {self.name}: runs {call_id}{' (deadly)' * is_deadly}")
        await asyncio.sleep(self.work_seconds)
        writer.write(
            f"HTTP/1.1 200 OK\r\nVanillawharf-Attempt-Id: {call_id}\r\n"
            f"Vanillawharf-Runner-Stamp: stamp.{self.name}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        await writer.drain()
        first = int(fields.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            if is_deadly and os.environ.get("CRASH") == "head":
                break
            event = f"id: {number}\ndata: {call_id}\n\n".encode()
            if is_deadly and number > first:
                # It cuts off its stream in the middle of an event.
                writer.write(b"%x\r\n%b" % (len(event), event[:9]))
                await writer.drain()
                break
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        if is_deadly:
            self.crash()
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def crash(self):
        """Lose all connections and listen no more for some seconds."""
        if self.is_up:
            self.is_up = False
            self.crashes.append(asyncio.get_running_loop().time())
            self.record(f"runner {self.name}: crash {len(self.crashes)}")
            self.stop()
            self._return = asyncio.create_task(self.come_back())

    async def come_back(self):
        """Start again after some seconds."""
        await asyncio.sleep(AWAY_SECONDS)
        await self.start()
        self.is_up = True
        self.record(f"runner {self.name}: is back")


async def _stream(gateway, record, part, outcomes, sent_at):
    """Send one request of a stream and record how it ends."""
    call_id, own = attempt_id(), attempt_id()[:8]
    fields = (
        ("Vanillawharf-Model", " m"),
        ("Vanillawharf-Token-Count", " 1460,80"),
        ("Vanillawharf-Prefix-Hash", f" {SHARED}:800,{part}:410,{own}:250"),
        ("Content-Length", " 20"),
    )
    body = f"prompt of {own}..".encode()
    sent_at[call_id] = asyncio.get_running_loop().time()
    outcome = "no connection"
    with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
        async with asyncio.timeout(5.5):
            reader, writer = await gateway.connect()
            writer.write(request_bytes("POST", "/draft/x", fields, body, call_id))
            first = await reader.readline()
            outcome = first.split()[1].decode() + " and cut"
            rest = await reader.readuntil(b"\r\n\r\n")
            if b"chunked" in rest:
                await reader.readuntil(b"0\r\n\r\n")
            outcome = first.split()[1].decode()
            writer.close()
    kind = "deadly" if part == DEADLY else "sound"
    key = f"{kind}: {outcome}"
    outcomes[key] = outcomes.get(key, 0) + 1
    record(f"client: {kind} request {call_id} at {gateway.name}: {outcome}")


async def _send(gateways, record, part, seconds, outcomes, sent_at, tasks):
    """Send requests at one machine after the other, for the time of the play."""
    ends_at = asyncio.get_running_loop().time() + PLAY_SECONDS
    for gateway in itertools.cycle(gateways):
        task = asyncio.create_task(_stream(gateway, record, part, outcomes, sent_at))
        tasks.append(task)
        await asyncio.sleep(seconds)
        if asyncio.get_running_loop().time() > ends_at:
            return


def _late(crashes, reached, sent_at):
    """Return the requests with the part that came too late, each by its id."""
    if len(crashes) < CRASHES:
        return []
    limit = crashes[CRASHES - 1] + CONTACT_SECONDS
    return sorted({call_id for call_id, _ in reached if sent_at[call_id] > limit})


async def case(record):
    """Return whether the deadly part reaches no more runners once it is known."""
    store = Store(record)
    await store.start()
    crashes, reached, outcomes, sent_at = [], [], {}, {}
    names = [f"i-7f3a91c{number}" for number in range(RUNNERS)]
    kept = {"crashes": crashes, "reached": reached}
    engines = [Engine(record, name, "wharf-llm", **kept) for name in names]
    settings = {"slots": 64, "kvCapacity": 399952}
    document = configuration(
        [
            route(
                "draft",
                "wharf-llm",
                "stream",
                timeoutMs=5000,
                isSticky=True,
                isResumable=True,
                itlTargetMs=400,
            )
        ],
        [service("wharf-llm", engine=settings)],
    )
    await store.put("config", "main", document)
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.name, engine.entry())
    tasks = []
    with tempfile.TemporaryDirectory() as folder:
        names = [f"edge-khomas-{zone}-1" for zone in "abc"[:GATEWAYS]]
        gateways = [Gateway(record, name, store, Path(folder)) for name in names]
        try:
            for gateway in gateways:
                await gateway.start()
            for gateway in gateways:
                if not await gateway.until_ready():
                    return CASE_IMPOSSIBLE
            await asyncio.sleep(CONTACT_SECONDS)
            parts = {SOUND: SOUND_SECONDS}
            if has_trouble():
                parts[DEADLY] = DEADLY_SECONDS
            shared = outcomes, sent_at, tasks
            await asyncio.gather(
                *(
                    _send(gateways, record, part, seconds, *shared)
                    for part, seconds in parts.items()
                )
            )
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for gateway in gateways:
                await gateway.end()
    late = _late(crashes, reached, sent_at)
    record(f"crashes: {len(crashes)}")
    record(f"requests by outcome: {outcomes}")
    record(
        f"requests with the part that reached runners, sent over {CONTACT_SECONDS} s "
        f"after crash {CRASHES}: {len(late)} {late}"
    )
    return CASE_FAILED if len(late) > MOST_LATE else CASE_HELD


run_case(case, FOLDER)
