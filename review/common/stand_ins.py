"""Stand-ins for the platform, runners and clients, with the standard library only.

They speak what the users' pages say (PROTOCOL.md, DEPLOY.md) and note in a `Record`
what was sent, answered and run.
"""

import asyncio
import json
import os
import re
import signal
import socket
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[2]
PREFIX = "/vanillawharf/objects"
ID = "vanillawharf-attempt-id"
REASONS = {200: "OK", 503: "Service Unavailable", 421: "Misdirected Request"}


def clock():
    """Return the seconds of the steady clock."""
    return time.monotonic()


class Record:
    """Write events with their time to a file, and keep them."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self.began = clock()
        self.events = []

    def add(self, what, **fields):
        """Add an event."""
        at = clock() - self.began
        self.events.append((at, what, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at:9.3f} {what} {text}\n")
        self._file.flush()

    def now(self):
        """Return the seconds since the start."""
        return clock() - self.began


async def read_head(reader):
    """Return the first line, the lower-case header and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return first, fields


class Server:
    """A TCP server on loopback whose connections can be reset."""

    def __init__(self, host, port=0):
        self.host, self.port = host, port
        self._server = None
        self.writers = set()

    @property
    def address(self):
        """Return HOST:PORT."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen, again on the same port after `stop`."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and reset all connections, as a killed process."""
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            with suppress(Exception):
                writer.close()


class Store(Server):
    """The platform's store: objects by kind and name, with revisions and watches."""

    def __init__(self, host, record):
        super().__init__(host)
        self._record = record
        self._objects = {}
        self._history = []
        self._revision = 10
        self._changed = asyncio.Event()
        self._silent = set()
        self.text_by_mark = {}  # JSON texts that stand for a mark in objects
        self.on_status = lambda kind, name, status: None

    def write(self, kind, name, spec=None, status=None, *, gone=False):
        """Write an object as the operator or a runner does; return the revision."""
        self._revision += 1
        key = (kind, name)
        known = self._objects.get(key)
        created = known["metadata"]["created"] if known else self._revision
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": created,
            "finalizers": [],
            "isDeleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        if gone:
            self._objects.pop(key, None)
        else:
            self._objects[key] = stored
        self._history.append((self._revision, kind, stored, gone))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._revision

    def get(self, kind, name):
        """Return an object or None."""
        return self._objects.get((kind, name))

    def silence(self):
        """Return nothing further on the connections that are open; new ones work."""
        self._silent |= self.writers
        self._record.add("silent", connections=len(self.writers))

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        while True:
            first, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            method, target, _ = first.split(" ")
            status, answer = await self._answer(method, target, body)
            if writer in self._silent:
                continue
            data = json.dumps(answer).encode()
            for mark, text in self.text_by_mark.items():
                data = data.replace(f'"{mark}"'.encode(), text)
            writer.write(
                f"HTTP/1.1 {status} X\r\nStore-Era: 1\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()

    async def _answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(item.partition("=")[::2] for item in query.split("&") if item)
        kind, _, name = path.removeprefix(PREFIX).strip("/").partition("/")
        name, _, part = name.partition("/")
        await asyncio.sleep(0.004)
        if method == "GET":
            return await self._read(kind, name, options)
        document = json.loads(body) if body else {}
        metadata = document.get("metadata") or {}
        name = name or metadata["name"]
        known = self._objects.get((kind, name))
        revision = metadata.get("revision")
        if method == "POST":
            if known:
                return 409, known
            self.write(kind, name, document.get("spec"))
        elif not known:
            return 404, {}
        elif revision is not None and revision != known["metadata"]["revision"]:
            return 409, known
        elif method == "DELETE":
            self.write(kind, name, gone=True)
            return 200, {}
        elif part == "status":
            if document.get("status") != known["status"]:
                self.write(kind, name, known["spec"], document["status"])
                self._record.add("status", name=name, status=document["status"])
                self.on_status(kind, name, document["status"])
        elif document.get("spec") != known["spec"]:
            self.write(kind, name, document.get("spec"), known["status"])
        return 200, self._objects[kind, name]

    async def _read(self, kind, name, options):
        if name:
            stored = self._objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if "watch" not in options:
            found = sorted(n for k, n in self._objects if k == kind)
            found = [n for n in found if n > options.get("after", "")]
            page = [self._objects[kind, n] for n in found[:500]]
            more = len(found) > len(page)
            return 200, {"entries": page, "hasMore": more, "asOf": self._revision}
        since = int(options["watch"])
        ends = clock() + int(options.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            events = [
                {"object": stored, "isGone": gone}
                for revision, k, stored, gone in self._history
                if revision > since and k == kind
            ]
            if events or clock() >= ends:
                return 200, {"events": events, "asOf": self._revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(min(0.5, max(0.0, ends - clock()))):
                    await changed.wait()


class Runner(Server):
    """A runner: one request at a time on a connection, `slots` at once."""

    def __init__(self, host, name, service, record, **options):
        super().__init__(host)
        self.name, self.service, self._record = name, service, record
        self.zone = options.get("zone", "z1")
        self.version = options.get("version", "v1")
        self.work = options.get("work", 0.03)
        self.slots = options.get("slots", 8)
        self.born = int(time.time() * 1000)
        self.runs = []
        self.busy = 0

    def entry(self, state="ready", cold_ms=0.0, sequence=1):
        """Return the runner's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": cold_ms,
            "seqNo": sequence,
            "born": self.born,
        }

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one after the other."""
        while True:
            first, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            await self.answer(first, fields, body, writer)
            await writer.drain()

    async def answer(self, first, fields, body, writer):
        """Answer one request."""
        call = fields.get(ID)
        if fields.get("vanillawharf-expect-instance", self.name) != self.name:
            self.send(
                writer, 421, call, b"", [f"Vanillawharf-Instance-Id: {self.name}"]
            )
            return
        await self.run(call, fields, writer)

    async def run(self, call, fields, writer):
        """Run a request and answer it."""
        self.begin(call, fields)
        await asyncio.sleep(self.work)
        self.send(writer, 200, call, f"answer to {call}".encode())

    def begin(self, call, fields):
        """Note that a request runs."""
        self.runs.append((self._record.now(), call))
        self._record.add(
            "run",
            runner=self.name,
            id=call,
            tenant=fields.get("vanillawharf-tenant"),
        )

    def send(self, writer, status, call, body, lines=()):
        """Send an answer; those of 2xx and failures of runs bear the stamp."""
        writer.write(self.message(status, call, body, lines))

    def message(self, status, call, body, lines=()):
        """Return the bytes of an answer."""
        head = [f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"]
        if call:
            head.append(f"Vanillawharf-Attempt-Id: {call}")
        if not any(line.startswith("Vanillawharf-Not-Exec") for line in lines):
            head.append(f"Vanillawharf-Runner-Stamp: {self.name}.stamp")
        head += [*lines, f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(head).encode() + body


class Gateway:
    """A gateway: the deploy file's command with settings of the deploy's template."""

    def __init__(self, name, host, store, record, folder, zone="z1"):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["gateway"]
        self.name, self.host, self._record = name, host, record
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        ports = free_ports(host, 3)
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._fields = {
            "nodeName": name,
            "zone": zone,
            "ip": host,
            "listen": {"frontend": self.address, "ready": self.ready_address},
            "internalPorts": [ports[2], ports[2]],
            "platform": {"address": store},
            "bounds": {"retryRatio": 0.2, "retrySlack": 56, "budgetWindowS": 10}
            | {"graceS": 8},
            "limits": {"cpuShare": 0.817, "cores": 1, "linkMbps": 1000.0},
        }
        self.process = None

    async def start(self):
        """Start the process."""
        self._path.write_text(re.sub(r"\{\{(.*?)\}\}", self._fill, self._template))
        environment = {
            k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")
        }
        environment["VANILLAWHARF_NODE_FILE"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add("gateway_started", name=self.name)

    def _fill(self, match):
        path, _, form = match[1].partition("|")
        value = self._fields
        for key in path.split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return json.dumps(value) if form == "json" else str(value)

    def signal(self, number):
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._record.add("signal", gateway=self.name, signal=number.name)

    async def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await http(self.ready_address, "/vanillawharf/readyz")
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def until_ready(self, seconds=30.0):
        """Wait until the gateway is ready; return whether it is."""
        ends = clock() + seconds
        while clock() < ends:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def state(self):
        """Return what the process tells operators of itself."""
        _, _, body = await http(f"{self.host}:9464", "/state")
        return json.loads(body)

    async def end(self):
        """End the process for good."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def http(address, path, lines=(), body=b"", method="GET", limit=5.0):
    """Make a call on a connection of its own; return status, header and body."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = [f"{method} {path} HTTP/1.1", *lines, f"Content-Length: {len(body)}"]
        writer.write("\r\n".join((*head, "", "")).encode() + body)
        return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader):
    """Return status, header and body of an answer."""
    first, fields = await read_head(reader)
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(fields.get("content-length", 0)))
    return int(first.split()[1]), fields, body


class Client:
    """Send requests to a gateway, each on a new or on a kept connection."""

    def __init__(self, record, host_header="shop.example"):
        self._record = record
        self._host = host_header
        self._rng = Random(7)
        self.results = {}
        self.sent = {}
        self.keys = {}

    async def send(
        self,
        gateway,
        path,
        key=None,
        deadline_ms=1500,
        method="POST",
        body=b"",
        lines=(),
    ):
        """Send one request; return its id and status, None if there is no answer."""
        call = f"{self._rng.getrandbits(64):016x}"
        lines = [
            *lines,
            f"Host: {self._host}",
            f"Vanillawharf-Attempt-Id: {call}",
            f"Vanillawharf-Deadline-Ms: {deadline_ms}",
        ]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        self.sent[call] = self._record.now()
        self.keys[call] = key
        self._record.add("sent", id=call, gateway=gateway.name, path=path, key=key)
        status = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                status, _, answer = await http(
                    gateway.address, path, lines, body, method
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._record.add("lost", id=call, error=type(error).__name__)
        else:
            self._record.add("answer", id=call, status=status)
            self.check(call, status, answer)
        self.results[call] = status
        return call, status

    def check(self, call, status, body):
        """Look at an answer."""


def free_ports(host, count):
    """Return free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def loopback_hosts(count):
    """Return loopback addresses that other runs hardly use."""
    rng = Random()
    net = f"127.{rng.randrange(2, 250)}.{rng.randrange(1, 250)}"
    return [f"{net}.{number + 2}" for number in range(count)]


def route(name, service, kind="safe", **options):
    """Return a route of the configuration; its path is /NAME/."""
    return {
        "name": name,
        "hostname": "shop.example",
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 3000,
        "sloMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
    } | options


def service(name, **options):
    """Return a service of the configuration."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 110,
        "coldStartS": 0,
        "coldPerS": 0,
    } | options


def configuration(version, routes, services, keys, others=()):
    """Return a version of the configuration; a second tenant holds `others`."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [
            {"name": name, "apiKeys": list(held)}
            for name, held in (("smiths", keys), ("farriers", others))
            if held
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 20000,
        },
    }


def main(file, play, most=110.0):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    `play(record, folder, trouble, ends)` returns the violations; `ends` collects what
    has to be ended.
    """
    import sys

    folder = Path(file).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        ends = []
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(most):
                    return await play(record, Path(temporary), trouble, ends)
            finally:
                for end in ends:
                    await end()
                keep = os.environ.get("KEEP")
                if keep:
                    for path in Path(temporary).iterdir():
                        Path(keep, path.name).write_bytes(path.read_bytes())

    try:
        violations = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add("not_run", error=repr(error))
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    for violation in violations[:20]:
        record.add("violation", text=violation)
        print(violation)
    text = "broken" if violations else "held"
    record.add("verdict", rule=text, violations=len(violations), trouble=trouble)
    print(f"the rule {text}; trouble={trouble}")
    sys.exit(1 if violations else 0)
