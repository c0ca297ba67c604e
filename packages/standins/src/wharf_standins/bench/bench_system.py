"""Real entries and sidecars with simulated upstreams, on loopback."""

import asyncio
from contextlib import AsyncExitStack
from random import Random

import aiohttp

from wharf_daemon import Entry, EntrySettings, Sidecar, SidecarSettings
from wharf_daemon.http_server import HttpServer
from wharf_platform import ObjectClient
from wharf_platform.configuration import CONFIGURATION_KEY, Document, Folder
from wharf_standins.bench.attempt_counter import AttemptCounter
from wharf_standins.bench.request_class import REQUEST_CLASSES
from wharf_standins.bench.shape import WIDTH
from wharf_standins.bench.upstream import WARMING_CALLS, BenchUpstream
from wharf_standins.platform import Platform

__all__ = ["BenchSystem"]

ANY_PORT = "127.0.0.1:0"
COLD_LIMIT = 2
MAX_LIMIT = 16
LINK_TIMEOUT_SECONDS = 10.0


class BenchSystem:
    """One system under test, started on entry and stopped on exit."""

    def __init__(self, shape, variant, seed):
        self.shape = shape
        self.upstream_by_name = {}
        self.sidecar_by_name = {}
        self.entries = []
        self.counter = AttemptCounter()
        self.document = None
        self._variant = variant
        self._seed = seed
        self._stack = AsyncExitStack()

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        site = await self._site(Platform().application())
        self._platform_url = f"http://127.0.0.1:{site.port}"
        self._store = ObjectClient(self.session, self._platform_url)
        for name, data_centre in self.shape.data_centre_by_upstream().items():
            await self._start_upstream(name, data_centre)
        await self.publish(Document(revision=1, folder=self._folder()))
        for number, data_centre in enumerate(self.shape.data_centres):
            await self._start_entry(number, data_centre)
        async with asyncio.timeout(LINK_TIMEOUT_SECONDS):
            while not all(self._is_linked(entry) for entry in self.entries):
                await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    @property
    def entry_urls(self):
        """Return the callers' URLs of all entries."""
        return [f"http://127.0.0.1:{entry.port}" for entry in self.entries]

    async def publish(self, document):
        """Store `document` as the current configuration."""
        self.document = document
        stored = (await self._store.get(CONFIGURATION_KEY)).unwrap()
        value = document.to_json()
        (await self._store.put(CONFIGURATION_KEY, value, stored.version)).unwrap()

    def remove_host(self, name):
        """Stop an upstream and its sidecar abruptly, as if their host had failed."""
        self.upstream_by_name[name].go_offline()
        self.sidecar_by_name[name].abort()

    def _folder(self):
        upstreams = {
            name: {
                "pool": name.rpartition("-")[0],
                "data_centre": sidecar.settings.data_centre,
                "address": f"127.0.0.1:{sidecar.port}",
                "cold_limit": COLD_LIMIT,
                "max_limit": MAX_LIMIT,
                "warm_calls": WARMING_CALLS,
            }
            for name, sidecar in self.sidecar_by_name.items()
        }
        return Folder.model_validate(
            {
                "data_centres": {name: {} for name in self.shape.data_centres},
                "customers": {name: {} for name in self.shape.share_by_customer},
                "pools": {name.rpartition("-")[0]: {} for name in upstreams},
                "upstreams": upstreams,
                "pipelines": {kind.name: kind.pipeline() for kind in REQUEST_CLASSES},
            }
        )

    async def _start_upstream(self, name, data_centre):
        upstream = BenchUpstream(name, data_centre, WIDTH, COLD_LIMIT)
        site = await self._site(upstream.application())
        settings = SidecarSettings(
            name=f"sidecar-{name}",
            data_centre=data_centre,
            listen=ANY_PORT,
            operators_listen=ANY_PORT,
            platform=self._platform_url,
            upstream=name,
            upstream_url=f"http://127.0.0.1:{site.port}",
            cold_limit=COLD_LIMIT,
            max_limit=MAX_LIMIT,
            stop_grace=1.0,
            seed=self._seed,
        )
        sidecar = Sidecar(settings, self._variant.limiter())
        await sidecar.start()
        self._stack.push_async_callback(sidecar.stop)
        self.upstream_by_name[name] = upstream
        self.sidecar_by_name[name] = sidecar

    async def _start_entry(self, number, data_centre):
        settings = EntrySettings(
            name=f"entry-{number}",
            data_centre=data_centre,
            listen=ANY_PORT,
            operators_listen=ANY_PORT,
            platform=self._platform_url,
            stop_grace=1.0,
            seed=self._seed + number,
        )
        rng = Random(self._seed + number)
        entry = Entry(settings, self._variant.entry_policy(rng, data_centre))
        await entry.start()
        entry.outcomes.subscribe(self.counter.add)
        self._stack.push_async_callback(entry.stop)
        self.entries.append(entry)

    async def _site(self, application):
        site = HttpServer(application, ANY_PORT)
        await site.start()
        self._stack.push_async_callback(site.stop)
        return site

    def _is_linked(self, entry):
        links = entry.links.by_address.values()
        return len(links) == len(self.sidecar_by_name) and all(
            link.is_open for link in links
        )
