"""Entries and sidecars in separate processes, with the stand-ins in this process."""

import asyncio
import json
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from aiohttp import web

from wharf_daemon.http_server import HttpServer
from wharf_standins.command_result import CommandResult
from wharf_standins.daemon_process import DaemonProcess
from wharf_standins.engine import Engine
from wharf_standins.platform import Platform
from wharf_standins.reserved_addresses import ReservedAddresses

__all__ = ["ProcessFleet"]

START_SECONDS = 20.0
POLL_SECONDS = 0.02
LIMIT = 64


class ProcessFleet:
    """Run `wharfd` processes on loopback and `wharfctl` against them.

    `shape` maps each pool's name to its upstreams' data centres. Stand-ins of the
    platform and the upstreams run in this process, so that tests can access them.
    `is_store_cut` makes the store unavailable to the daemons but not to wharfctl. A
    request that an entry left without an answer raises RuntimeError on exit.
    """

    def __init__(self, directory: Path, shape, pipelines, entries=2, service_time=0.01):
        self.directory = directory
        self.folder = directory / "folder"
        self._shape = shape
        self._pipelines = pipelines
        self._service_time = service_time
        self._stack = AsyncExitStack()
        self._process_by_name = {}
        self.entry_names = [f"entry-{number}" for number in range(entries)]
        self.data_centre_by_upstream = {
            f"{pool}-{number}": data_centre
            for pool, data_centres in shape.items()
            for number, data_centre in enumerate(data_centres)
        }
        names = (*self.entry_names, *self.data_centre_by_upstream)
        self._addresses = ReservedAddresses()
        self._stack.callback(self._addresses.release)
        self.address_by_name = {name: self._addresses.take() for name in names}
        self.operators_by_name = {name: self._addresses.take() for name in names}
        self.engine_by_name = {}
        self.engine_url_by_name = {}
        self.platform = Platform()
        self.is_store_cut = False

    async def __aenter__(self):
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        server = await self._start_server(self.platform.application())
        self.platform_url = f"http://127.0.0.1:{server.port}"
        server = await self._start_server(self._daemons_platform())
        self._daemons_platform_url = f"http://127.0.0.1:{server.port}"
        self._stack.push_async_callback(self._stop_processes)
        self._write_folder()
        await asyncio.gather(
            *(self.start_sidecar(name) for name in self.data_centre_by_upstream),
            *(self.start_entry(name) for name in self.entry_names),
        )
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
        for path in self.directory.glob("*.log"):
            if "request_unanswered" in path.read_text():
                raise RuntimeError(f"{path.name}: requests were left unanswered")

    async def start_sidecar(self, name):
        """Start the stand-in of an upstream and its sidecar."""
        data_centre = self.data_centre_by_upstream[name]
        engine = Engine(name, data_centre, service_time=self._service_time)
        self.engine_by_name[name] = engine
        server = await self._start_server(engine.application())
        self.engine_url_by_name[name] = f"http://127.0.0.1:{server.port}"
        settings = self._settings(name, f"sidecar-{name}", data_centre) | {
            "upstream": name,
            "upstream_url": self.engine_url_by_name[name],
            "cold_limit": LIMIT,
            "max_limit": LIMIT,
        }
        await self._start("sidecar", name, settings)

    async def start_entry(self, name, **settings):
        """Start an entry; `settings` override the defaults."""
        if name not in self.address_by_name:
            self.address_by_name[name] = self._addresses.take()
            self.operators_by_name[name] = self._addresses.take()
        data_centre = next(iter(self.data_centre_by_upstream.values()))
        defaults = self._settings(name, name, data_centre) | {"drain_delay": 0.5}
        await self._start("entry", name, defaults | settings)

    async def stop(self, name):
        """Stop a process in a planned way and return its exit code."""
        return await self._process_by_name.pop(name).stop()

    def signal(self, name, number):
        """Send a signal to a process."""
        self._process_by_name[name].signal(number)

    async def freeze(self, name, seconds):
        """Suspend a process for some seconds."""
        self.signal(name, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.signal(name, signal.SIGCONT)

    def processor_seconds(self, name):
        """Return the processor time that a process has used, in seconds."""
        return self._process_by_name[name].processor_seconds()

    async def control(self, *arguments) -> CommandResult:
        """Run wharfctl with these arguments and return its result."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "wharf_control", *arguments),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return CommandResult(process.returncode, output.decode(), errors.decode())

    async def apply(self, *options) -> CommandResult:
        """Apply the configuration folder with wharfctl."""
        return await self.control(
            "apply", str(self.folder), "--platform", self.platform_url, *options
        )

    async def is_ready(self, name):
        """Return whether the process's readiness check succeeds."""
        url = f"http://{self.operators_by_name[name]}/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def dump(self, name):
        """Return the state dump of a process."""
        url = f"http://{self.operators_by_name[name]}/dump"
        async with self.session.get(url) as response:
            return await response.json()

    async def until_linked(self):
        """Wait until each entry has an open link to every sidecar."""
        async with asyncio.timeout(START_SECONDS):
            while not all([await self._is_linked(name) for name in self.entry_names]):
                await asyncio.sleep(POLL_SECONDS)

    async def _is_linked(self, name):
        if not await self.is_ready(name):
            return False
        links = (await self.dump(name))["links"]
        opened = [link for link in links if link["open"]]
        return len(opened) == len(self.data_centre_by_upstream)

    def _settings(self, key, name, data_centre):
        return {
            "name": name,
            "data_centre": data_centre,
            "listen": self.address_by_name[key],
            "operators_listen": self.operators_by_name[key],
            "platform": self._daemons_platform_url,
        }

    def _daemons_platform(self):
        @web.middleware
        async def cut(http, handler):
            response = await handler(http)
            return web.Response(status=503) if self.is_store_cut else response

        application = self.platform.application()
        application.middlewares.append(cut)
        return application

    async def _start(self, kind, name, settings):
        self._process_by_name[name] = await DaemonProcess.start(
            kind, self.directory, name, settings
        )
        url = f"http://{self.operators_by_name[name]}/livez"
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_reachable(url):
                self._process_by_name[name].check_running()
                await asyncio.sleep(POLL_SECONDS)

    async def _is_reachable(self, url):
        try:
            async with self.session.get(url):
                return True
        except aiohttp.ClientError:
            return False

    def _write_folder(self):
        self.folder.mkdir()
        centres = set(self.data_centre_by_upstream.values())
        sections = {
            "data_centres": {name: {} for name in sorted(centres)},
            "customers": {"acme": {}},
            "pools": {name: {} for name in self._shape},
            "entries": {
                name: {"operators": self.operators_by_name[name]}
                for name in self.entry_names
            },
            "upstreams": {
                name: self._upstream(name) for name in self.data_centre_by_upstream
            },
            "pipelines": self._pipelines,
        }
        for number, (section, content) in enumerate(sections.items()):
            path = self.folder / f"{number}0-{section}.json"
            path.write_text(json.dumps({section: content}))

    def _upstream(self, name):
        return {
            "pool": name.rpartition("-")[0],
            "data_centre": self.data_centre_by_upstream[name],
            "address": self.address_by_name[name],
            "cold_limit": LIMIT,
            "max_limit": LIMIT,
        }

    async def _start_server(self, application):
        server = HttpServer(application, "127.0.0.1:0")
        await server.start()
        self._stack.push_async_callback(server.stop)
        return server

    async def _stop_processes(self):
        names = tuple(self._process_by_name)
        await asyncio.gather(*(self.stop(name) for name in names))
