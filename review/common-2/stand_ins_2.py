"""Stand-ins on loopback for the platform, its runners and its clients.

They speak what the operators' pages say, with the standard library only. The gateway
itself runs as a process of its own, started as `deploy/system.toml` says.
"""

import asyncio
import json
import os
import random
import re
import resource
import shlex
import signal
import socket
import sys
import time
import tomllib
import uuid
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

__all__ = [
    "CASE_FAILED",
    "CASE_HELD",
    "CASE_IMPOSSIBLE",
    "Gateway",
    "LIMITS",
    "Record",
    "Runner",
    "Store",
    "attempt_id",
    "configuration",
    "crowd_line",
    "has_trouble",
    "raise_descriptors",
    "read_answer",
    "request_bytes",
    "route",
    "run_case",
    "service",
]

ROOT = Path(__file__).resolve().parents[2]
CASE_HELD, CASE_FAILED, CASE_IMPOSSIBLE = 0, 1, 2
CASE_SECONDS = 110
HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"
START_SECONDS = 20.0
OBJECTS = "/vanillawharf/objects/"
# A small deployment: an `edge` machine of the site ondjamba-anvil.
LIMITS = {"cpuShare": 0.817, "cores": 1, "memoryMb": 300, "maxFds": 4100}
BOUNDS = {"retryRatio": 0.2, "retrySlack": 56, "budgetWindowS": 10, "graceS": 8}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "places",
    "rollout",
    "platform",
    "stages",
]


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def crowd_line(length):
    """Return the value of a length's field, with a space behind it.

    Optional whitespace may follow each field's value and isn't part of it. With CROWD
    set to "plain" there is none, to compare.
    """
    return f" {length}" + ("" if os.environ.get("CROWD") == "plain" else " ")


def raise_descriptors(count):
    """Return whether this process, and those it starts, may open so many files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = resource.RLIM_INFINITY
    if soft != unlimited and soft < count and (hard == unlimited or hard >= count):
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft == unlimited or soft >= count


def attempt_id():
    """Return a new id of a client attempt."""
    return uuid.uuid4().hex[:16]


class Record:
    """Write down what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, text):
        """Write one line."""
        seconds = time.monotonic() - self._began
        self._file.write(f"{seconds:8.3f} s  {text}\n")
        self._file.flush()


async def _read_head(reader):
    """Return the first line and the fields of a message, names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def _read_body(reader, fields):
    """Return the body that follows a head, with a length, in chunks or empty."""
    if "chunked" not in fields.get("transfer-encoding", ""):
        return await reader.readexactly(int(fields.get("content-length", 0)))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return b"".join(parts)


class Server:
    """An HTTP/1.1 server on loopback that answers one request at a time."""

    def __init__(self, record):
        self.record = record
        self._server = None
        self._writers = set()
        self.address = None

    async def start(self):
        """Listen on a free port, or on the port that was used before."""
        port = 0 if self.address is None else int(self.address.rpartition(":")[2])
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        """Stop listening and reset all connections, as a crash does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            # A cancelled handler, at the end of the case, is of no interest.
            ends = OSError, asyncio.IncompleteReadError, asyncio.CancelledError
            with suppress(*ends):
                while True:
                    first, fields = await _read_head(reader)
                    body = await _read_body(reader, fields)
                    method, target, _ = first.split(" ", 2)
                    if not await self.answer(method, target, fields, body, writer):
                        break
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, fields, body, writer):
        """Answer one request; return whether the connection stays open."""
        raise NotImplementedError

    @staticmethod
    def write(writer, status, body=b"", fields=()):
        """Write an answer with a length."""
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in fields)]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join((*lines, "", "")).encode() + body)


class Store(Server):
    """The platform's store of objects, with revisions, watches and status."""

    def __init__(self, record):
        super().__init__(record)
        self._objects = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self.era = 1
        self.is_up = True
        self.on_status = None

    async def put(self, kind, name, spec=None, status=None):
        """Write an object's spec or its status, as the operator and runners do."""
        known = self._objects.get((kind, name), {"spec": None, "status": None})
        spec = known["spec"] if spec is None else spec
        status = known["status"] if status is None else status
        if (known["spec"], known["status"]) == (spec, status):
            return
        self._revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": 1,
                "finalizers": [],
                "isDeleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[kind, name] = stored
        self._events.append((self._revision, kind, stored, False))
        async with self._changed:
            self._changed.notify_all()

    async def delete(self, kind, name):
        """Remove an object."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision += 1
            self._events.append((self._revision, kind, stored, True))
            async with self._changed:
                self._changed.notify_all()

    def copy(self):
        """Return a copy of the objects, the history and the revision."""
        return dict(self._objects), list(self._events), self._revision

    async def restore(self, copy):
        """Come back from a copy, in the next era; revisions are given out again."""
        self._objects, self._events = dict(copy[0]), list(copy[1])
        self._revision = copy[2]
        self.era += 1
        await self.start()

    def get(self, kind, name):
        """Return an object, or None."""
        return self._objects.get((kind, name))

    async def answer(self, method, target, fields, body, writer):
        """Answer a call of the system."""
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        kind, _, rest = parts.path.removeprefix(OBJECTS).partition("/")
        name, _, part = (unquote(item) for item in rest.partition("/"))
        if method == "GET":
            status, document = await self._read(kind, name, query)
        else:
            status, document = await self._write(method, kind, name, part, body, query)
        data = json.dumps(document).encode()
        kind_field = ("Content-Type", "application/json")
        self.write(writer, status, data, (kind_field, ("Store-Era", str(self.era))))
        await writer.drain()
        return True

    async def _read(self, kind, name, query):
        if name:
            stored = self.get(kind, name)
            return ("200 OK", stored) if stored else ("404 Not Found", {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        after = query.get("after", "")
        found = [
            stored
            for (k, n), stored in sorted(self._objects.items())
            if k == kind and n > after
        ]
        page = {"entries": found, "hasMore": False, "asOf": self._revision}
        return "200 OK", page

    async def _watch(self, kind, since, wait_ms):
        def events():
            return [
                {"object": stored, "isGone": is_gone}
                for revision, k, stored, is_gone in self._events
                if revision > since and k == kind
            ]

        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000), self._changed:
                await self._changed.wait_for(events)
        return "200 OK", {"events": events(), "asOf": self._revision}

    async def _write(self, method, kind, name, part, body, query):
        document = json.loads(body) if body else {}
        metadata = document.get("metadata", {})
        name = name or metadata.get("name")
        known = self.get(kind, name)
        wanted = query.get("revision", metadata.get("revision"))
        if method == "POST" and known is not None:
            return "409 Conflict", known
        if method != "POST" and known is None:
            return "404 Not Found", {}
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return "409 Conflict", known
        if method == "DELETE":
            await self.delete(kind, name)
            return "200 OK", known
        if part == "status":
            await self.put(kind, name, status=document.get("status"))
            self.record(f"store: status of {kind}/{name} is {document.get('status')}")
            if self.on_status is not None:
                self.on_status(kind, name, document.get("status"))
        else:
            await self.put(kind, name, spec=document.get("spec"))
        return "200 OK", self.get(kind, name)


class Runner(Server):
    """A sound runner that records each request that it runs.

    `runs` has pairs of a request's id and its body, in their order. `work_seconds` is
    how long a request takes.
    """

    def __init__(self, record, name, service, zone="khomas-a"):
        super().__init__(record)
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = []
        self.work_seconds = 0.02
        self.version = "v1"
        self.state = "ready"
        self.sequence = 0

    def entry(self, **changes):
        """Return the runner's entry in the store."""
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "coldLeftMs": 0,
            "seqNo": self.sequence,
        }
        return entry | changes

    async def answer(self, method, target, fields, body, writer):
        """Run one request, unless it is for another runner."""
        call_id = fields.get("vanillawharf-attempt-id")
        answered = [("Vanillawharf-Attempt-Id", call_id or "")]
        if call_id is None:
            not_run = [("Vanillawharf-Not-Executed", "1")]
            self.write(writer, "400 Bad Request", b"", not_run)
            return True
        if fields.get("vanillawharf-expect-instance", self.name) != self.name:
            not_run = [("Vanillawharf-Not-Executed", "1")]
            self.write(writer, "421 Misdirected Request", b"", answered + not_run)
            return True
        self.runs.append((call_id, body))
        self.record(
            f"runner {self.name}: runs {call_id}, {method} {target}, "
            f"{len(body)} bytes of body"
        )
        await asyncio.sleep(self.work_seconds)
        stamp = ("Vanillawharf-Runner-Stamp", f"stamp.{self.name}")
        load = ("Vanillawharf-Runner-Load", "1,0,64")
        data = f"answer to {call_id}".encode()
        self.write(writer, "200 OK", data, (*answered, stamp, load))
        await writer.drain()
        return True


def service(name, **changes):
    """Return a service of the configuration."""
    return {"name": name, "healthPath": "/healthz", "maxConns": 370} | changes


def route(name, service_name, kind="safe", **changes):
    """Return a route of the configuration, with the path prefix `/NAME/`."""
    return {
        "name": f"r-{name}",
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": 15000,
        "sloMs": 1000,
        "priority": 1,
        "service": service_name,
        "maxAttempts": 2,
        "stages": [],
        "isPublic": False,
    } | changes


def configuration(routes, services, version=1):
    """Return a configuration with one tenant and the limits of the small sites."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


class Gateway:
    """A gateway process, with settings made from the project's template."""

    def __init__(self, record, name, store, folder, zone="khomas-a", limits=None):
        self.record = record
        self.name = name
        self._folder = folder
        # A loopback address of its own, since the template has one fixed port.
        self.ip = "127." + ".".join(str(random.randint(1, 254)) for _ in range(3))
        ports = _free_ports(self.ip, 3)
        self.address = f"{self.ip}:{ports[0]}"
        self.ready_address = f"{self.ip}:{ports[1]}"
        limits = LIMITS | {"linkMbps": 1000.0} | (limits or {})
        self._fields = {
            "nodeName": name,
            "ip": self.ip,
            "zone": zone,
            "internalPorts": [ports[2], ports[2]],
            "listen": {"frontend": self.address, "ready": self.ready_address},
            "limits": limits,
            "bounds": BOUNDS,
            "contracts": CONTRACTS,
            "platform": {"address": store.address},
        }
        self.process = None

    async def start(self):
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        template = (ROOT / role["template"]).read_text()
        path = self._folder / f"{self.name}.json"
        path.write_text(_filled(template, self._fields))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "VANILLAWHARF_NODE_FILE": str(path),
        } | {name: _filled(text, self._fields) for name, text in role["env"].items()}
        arguments = shlex.split(role["run"])
        if arguments[0] == "python3":
            arguments[0] = sys.executable
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"platform: starts {self.name}")

    async def until_ready(self):
        """Wait until the gateway says that it is ready; return whether it does."""
        ends = time.monotonic() + START_SECONDS
        while time.monotonic() < ends:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        """Return whether the machine says that it is ready."""
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                return await self._is_ready()
        return False

    async def _is_ready(self):
        host, _, port = self.ready_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /vanillawharf/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
        first, _ = await _read_head(reader)
        writer.close()
        return " 200 " in f"{first} "

    async def connect(self):
        """Return the reader and the writer of a client's new connection."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port), limit=1 << 20)

    @property
    def is_running(self):
        """Return whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def memory_megabytes(self):
        """Return the memory that the process holds now, in megabytes."""
        with suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            line = next(line for line in lines if line.startswith("VmRSS"))
            return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process, if it runs."""
        if self.is_running:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


def _free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _value(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def _filled(template, fields):
    """Return a template with its placeholders filled, as the pages tell."""

    def section(match):
        return match[2] if _value(fields, match[1]) else ""

    def value(match):
        found = _value(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def request_bytes(method, target, fields=(), body=b"", call_id=None, milliseconds=5000):
    """Return a client's request; `fields` come behind the usual ones."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Vanillawharf-Attempt-Id: {call_id or attempt_id()}",
        f"Vanillawharf-Deadline-Ms: {milliseconds}",
        f"Authorization: Bearer {KEY}",
        *(f"{name}:{value}" for name, value in fields),
    ]
    return "\r\n".join((*lines, "", "")).encode() + body


async def read_answer(reader):
    """Return the status, the fields and the body of an answer."""
    first, fields = await _read_head(reader)
    while first.split()[1] == "100":
        first, fields = await _read_head(reader)
    return int(first.split()[1]), fields, await _read_body(reader, fields)


def run_case(case, folder):
    """Run `case(record, folder)` and exit with what it returns."""
    record = Record(folder / "record.txt")

    async def bounded():
        async with asyncio.timeout(CASE_SECONDS):
            return await case(record)

    try:
        result = asyncio.run(bounded())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        result = CASE_IMPOSSIBLE
    words = {CASE_HELD: "held", CASE_FAILED: "BROKEN", CASE_IMPOSSIBLE: "not run"}
    record(f"result: {words[result]}")
    print(f"{folder.name}: {words[result]}")
    sys.exit(result)
