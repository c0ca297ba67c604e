"""Starts gateways with the commands of the deploy file, and clients before them."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path

from wire import read_message, request_bytes

ROOT = Path(__file__).resolve().parents[2]
CONTRACTS = [
    *("base", "drain", "config", "cost", "retry", "recover", "engine"),
    *("stream", "tenants", "places", "rollout", "platform", "stages"),
]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case couldn't run: no build, or the system didn't come up."""


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")  # noqa: SIM115
        self._start = time.monotonic()

    def __call__(self, event, who="", **values):
        """Write a line."""
        rest = " ".join(f"{k}={v}" for k, v in values.items())
        at = time.monotonic() - self._start
        self._file.write(f"{at:9.3f} {event} {who} {rest}\n")

    def close(self):
        """Close the file."""
        self._file.close()


def free_ports(count, host="127.0.0.1"):
    """Return different free ports below those that the kernel gives to callers."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((host, port))
            if port not in found:
                found.append(port)
    return found


def _fill(text, values):
    """Replace the placeholders of a template; sections without a value vanish."""
    text = re.sub(r"\{\{#cloud\.address\}\}.*?\{\{/cloud\.address\}\}", "", text)

    def value(match):
        name, _, form = match[1].partition("|")
        found = values
        for part in name.split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([a-zA-Z0-9_.]+(?:\|json)?)\}\}", value, text)


class GatewayProcess:
    """One gateway, started as the deploy file says, with settings of a small site."""

    def __init__(self, name, zone, store, folder, **changes):
        self.name = name
        front, ready, peers, metrics = free_ports(4)
        host = "127.0.0.1"
        self.address, self.ready = f"{host}:{front}", f"{host}:{ready}"
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._role = role["gateway"]
        values = {
            "nodeName": name,
            "zone": zone,
            "ip": host,
            "listen": {"frontend": self.address, "ready": self.ready},
            "internalPorts": [peers, peers + 15],
            "platform": {"address": store},
            "bounds": {
                "retryRatio": 0.2,
                "retrySlack": 56,
                "budgetWindowS": 10,
                "graceS": 8,
            },
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "contracts": CONTRACTS,
        }
        template = (ROOT / self._role["template"]).read_text()
        settings = _fill(template, values)
        # Several gateways share one loopback address, so that each has its own port.
        settings = settings.replace(f"{host}:9464", f"{host}:{metrics}")
        self.metrics = f"{host}:{metrics}"
        self._path = Path(folder) / f"{name}.json"
        self._path.write_text(settings)
        self._log = Path(folder) / f"{name}.log"
        self._deployment = _fill(self._role["env"]["WHARF_DEPLOYMENT"], values)
        self.process = None

    async def start(self):
        """Start the process."""
        command = self._role["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "VANILLAWHARF_NODE_FILE": str(self._path),
            "WHARF_DEPLOYMENT": self._deployment,
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def until_ready(self, seconds=15):
        """Wait until the gateway says that it is ready."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} isn't ready: {self.log_tail()}")

    async def is_ready(self):
        """Ask as the platform's balancer does."""
        host, _, port = self.ready.partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes("GET", "/vanillawharf/readyz", [("Host", host)]))
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def log_tail(self, size=2000):
        """Return the last of what the process has logged."""
        return (
            self._log.read_text(errors="replace")[-size:] if self._log.exists() else ""
        )

    async def stop(self):
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Client:
    """One caller with a kept connection; it retries nothing."""

    def __init__(self, gateway, record, key=None):
        self.gateway, self.record, self.key = gateway, record, key
        self._reader = self._writer = None

    async def call(self, method, host, target, deadline_ms, body=b"", extra=()):
        """Send one request; return its id and its answer, None if there is none."""
        attempt = f"{random.getrandbits(64):016x}"
        fields = [("Host", host), ("Vanillawharf-Attempt-Id", attempt)]
        fields.append(("Vanillawharf-Deadline-Ms", deadline_ms))
        if self.key:
            fields.append(("Authorization", f"Bearer {self.key}"))
        data = request_bytes(method, target, [*fields, *extra], body)
        self.record("sent", self.gateway.name, id=attempt, target=target)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._writer is None or self._writer.is_closing():
                    host_name, _, port = self.gateway.address.partition(":")
                    opened = await asyncio.open_connection(host_name, int(port))
                    self._reader, self._writer = opened
                self._writer.write(data)
                answer = await read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record("no answer", self.gateway.name, id=attempt, why=repr(error))
            self.close()
            return attempt, None
        self.record("answered", self.gateway.name, id=attempt, status=answer.status)
        if answer.fields.get("connection", "").lower() == "close":
            self.close()
        return attempt, answer

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def run(case, folder):
    """Run a case's coroutine `case(record, folder)`; exit as the review's scripts do.

    It returns a list of breaches.
    """
    here = Path(folder).resolve()
    record = Record(here / "record.txt")

    async def whole():
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(case(record, temporary), 115)

    try:
        if not (ROOT / "target/deps/wharf_gateway").exists():
            raise CannotRunError("the build of the deploy file is missing")
        breaches = asyncio.run(whole())
    except Exception as error:  # whatever it is, nothing was shown
        record("cannot run", "", why=repr(error))
        print("the case couldn't run:", repr(error))
        code = 2
    else:
        for breach in breaches:
            record("breach", "", text=breach)
            print("broken:", breach)
        if not breaches:
            print("the rule held")
        code = 1 if breaches else 0
    record.close()
    sys.exit(code)
