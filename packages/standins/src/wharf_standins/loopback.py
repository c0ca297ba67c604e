"""A complete system in one process on loopback."""

import asyncio
from contextlib import AsyncExitStack

import aiohttp

from wharf_daemon import Entry, EntrySettings, Sidecar, SidecarSettings
from wharf_daemon.http_server import HttpServer
from wharf_platform import ObjectClient
from wharf_platform.configuration import CONFIGURATION_KEY, Document, Folder
from wharf_standins.engine import Engine
from wharf_standins.plain_service import PlainService
from wharf_standins.platform import Platform
from wharf_standins.reserved_addresses import ReservedAddresses

__all__ = ["Loopback"]

ANY_PORT = "127.0.0.1:0"


class Loopback:
    """Run stand-ins, sidecars and entries on free ports; stop them on exit.

    `shape` maps each pool's name to its upstreams' data centres, `versions` an
    upstream's name to its version where it differs from the pool's. `services` has
    the names of pools of plain services; `cold_bearable` is passed to the engines.
    Daemons in `killed` are not stopped on exit. A request that an entry left without
    an answer raises RuntimeError on exit.
    """

    def __init__(
        self,
        shape,
        pipelines,
        entries=1,
        customers=("acme",),
        seed=1,
        engine_type=Engine,
        versions=None,
        services=(),
        cold_bearable=0,
    ):
        self._shape = shape
        self._pipelines = pipelines
        self._entry_count = entries
        self._customers = customers
        self._seed = seed
        self._engine_type = engine_type
        self._versions = versions or {}
        self._services = services
        self._cold_bearable = cold_bearable
        self._stack = AsyncExitStack()
        self._addresses = ReservedAddresses()
        self._stack.callback(self._addresses.release)
        self.engine_by_name = {}
        self.sidecar_by_name = {}
        self._address_by_name = {}
        self.entries = []
        self._started_entries = []
        self.killed = []
        self.platform = Platform()

    async def __aenter__(self):
        self.session = await self._stack.enter_async_context(aiohttp.ClientSession())
        server = await self._start_server(self.platform.application())
        self.platform_url = f"http://127.0.0.1:{server.port}"
        self.store = ObjectClient(self.session, self.platform_url)
        for pool, data_centres in self._shape.items():
            for number, data_centre in enumerate(data_centres):
                await self._start_upstream(f"{pool}-{number}", data_centre)
        for number in range(self._entry_count):
            await self._start_entry(f"entry-{number}")
        await self.publish(Document(revision=1, folder=self.folder()))
        await self._wait_until_linked()
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
        for entry in self._started_entries:
            if count := entry.unanswered_by_reason.total():
                name = entry.settings.name
                raise RuntimeError(f"{name} left {count} requests unanswered")

    def folder(self):
        """Return the configuration folder of this system."""
        names = {name for zone in self._shape.values() for name in zone}
        upstreams = {
            name: {
                "pool": name.rpartition("-")[0],
                "data_centre": sidecar.settings.data_centre,
                "address": self._address_by_name[name],
                "version": self._versions.get(name),
            }
            for name, sidecar in self.sidecar_by_name.items()
        }
        return Folder.model_validate(
            {
                "data_centres": {name: {} for name in names},
                "customers": {name: {} for name in self._customers},
                "pools": {name: {"kind": self._kind(name)} for name in self._shape},
                "entries": {
                    entry.settings.name: {
                        "operators": f"127.0.0.1:{entry.operators_port}"
                    }
                    for entry in self.entries
                },
                "upstreams": upstreams,
                "pipelines": self._pipelines,
            }
        )

    async def publish(self, document):
        """Replace the stored configuration by `document`."""
        stored = (await self.store.get(CONFIGURATION_KEY)).unwrap()
        value = document.to_json()
        (await self.store.put(CONFIGURATION_KEY, value, stored.version)).unwrap()

    def entry_url(self, number=0):
        """Return the URL of an entry for requests."""
        return f"http://127.0.0.1:{self.entries[number].port}"

    async def replace_entry(self, number):
        """Start a new entry, under another name, in place of one that stops."""
        old = self.entries[number].settings
        name = f"{old.name}-again"
        entry = Entry(old.model_copy(update={"name": name}))
        await self._start_daemon(entry)
        self.entries[number] = entry

    async def replace_sidecar(self, name):
        """Start a new sidecar at the address of one that has stopped."""
        sidecar = Sidecar(self.sidecar_by_name[name].settings)
        await self._start_daemon(sidecar)
        self.sidecar_by_name[name] = sidecar

    async def _start_daemon(self, daemon):
        await daemon.start()
        if isinstance(daemon, Entry):
            self._started_entries.append(daemon)
        self._stack.push_async_callback(self._stop_daemon, daemon)

    async def _stop_daemon(self, daemon):
        if daemon not in self.killed:
            await daemon.stop()

    def _kind(self, pool):
        return "service" if pool in self._services else "engine"

    async def _start_upstream(self, name, data_centre):
        kind = self._kind(name.rpartition("-")[0])
        if kind == "service":
            engine = PlainService(name, data_centre)
        else:
            engine = self._engine_type(
                name, data_centre, cold_bearable=self._cold_bearable
            )
        server = await self._start_server(engine.application())
        address = self._addresses.take()
        settings = SidecarSettings(
            name=f"sidecar-{name}",
            data_centre=data_centre,
            listen=address,
            operators_listen=ANY_PORT,
            platform=self.platform_url,
            upstream=name,
            upstream_url=f"http://127.0.0.1:{server.port}",
            upstream_kind=kind,
            seed=self._seed,
        )
        sidecar = Sidecar(settings)
        await self._start_daemon(sidecar)
        self.engine_by_name[name] = engine
        self._address_by_name[name] = address
        self.sidecar_by_name[name] = sidecar

    async def _start_entry(self, name):
        settings = EntrySettings(
            name=name,
            data_centre=next(iter(self._shape.values()))[0],
            listen=ANY_PORT,
            operators_listen=ANY_PORT,
            platform=self.platform_url,
            drain_delay=0.0,
            seed=self._seed,
        )
        entry = Entry(settings)
        await self._start_daemon(entry)
        self.entries.append(entry)

    async def _start_server(self, application):
        server = HttpServer(application, ANY_PORT)
        await server.start()
        self._stack.push_async_callback(server.stop)
        return server

    async def _wait_until_linked(self):
        async with asyncio.timeout(10):
            while not all(self._is_linked(entry) for entry in self.entries):
                await asyncio.sleep(0.01)

    def _is_linked(self, entry):
        links = entry.links.by_address.values()
        return len(links) == len(self.sidecar_by_name) and all(
            link.is_open for link in links
        )
