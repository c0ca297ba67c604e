"""Changes and disturbances of a search."""

import asyncio
import socket

from wharf_platform.configuration import Folder
from wharf_standins.fault_rule import FaultKind, FaultRule
from wharf_standins.history.kill import cut_link

__all__ = ["Disturber"]

REMOVABLE = (
    ("pools", "model"),
    ("pools", "book"),
    ("upstreams", "model-0"),
    ("upstreams", "model-1"),
    ("upstreams", "book-0"),
    ("pipelines", "ask"),
    ("pipelines", "chain"),
    ("pipelines", "hold"),
    ("customers", "acme"),
    ("customers", "beta"),
)
MAX_SILENT_SECONDS = 2.0
MAX_PAUSE_SECONDS = 2.0
FAULT_SHARE = 0.5
SLOW_FACTOR = 8.0
SMALL_BUFFER_BYTES = 4 << 10


class Disturber:
    """Draw and do one disturbance after the other; each ends by itself.

    `paused` is the time in seconds for which the process has stood still.
    """

    def __init__(self, system, rng):
        self._system = system
        self._rng = rng
        self._entry = system.entries[0]
        self._folder = system.folder().model_dump()
        self.paused = 0.0
        self.done = []
        self._kinds = (
            *(self._remove,) * 4,
            *(self._change_limits,) * 2,
            *(self._silence_link,) * 3,
            self._take_out,
            self._silence_store,
            self._restore_store,
            self._pause_process,
            self._cut_link,
            self._fail_upstream,
            self._silence_upstream,
            self._crash_upstream,
            self._stop_sidecar,
        )

    async def disturb(self):
        """Do one disturbance and wait for its end."""
        kind = self._rng.choice(self._kinds)
        now = asyncio.get_running_loop().time()
        self.done.append(f"{now:.2f} {kind.__name__.strip('_')}")
        await kind()

    async def _remove(self):
        removed = self._rng.sample(REMOVABLE, self._rng.randint(1, 3))
        fields = {name: dict(items) for name, items in self._folder.items()}
        for section, name in removed:
            fields[section].pop(name, None)
        self._drop_dangling(fields)
        self._publish(folder=Folder.model_validate(fields))
        await asyncio.sleep(self._rng.uniform(0.0, 1.5))
        self._publish(folder=Folder.model_validate(self._folder))

    def _drop_dangling(self, fields):
        pools = fields["pools"]
        fields["upstreams"] = {
            name: upstream
            for name, upstream in fields["upstreams"].items()
            if upstream["pool"] in pools
        }
        fields["pipelines"] = {
            name: pipeline
            for name, pipeline in fields["pipelines"].items()
            if all(stage["pool"] in pools for stage in pipeline["stages"])
        }

    async def _change_limits(self):
        fields = {name: dict(items) for name, items in self._folder.items()}
        limits = {"cold_limit": 1, "max_limit": self._rng.randint(1, 4)}
        fields["upstreams"] = {
            name: upstream | limits for name, upstream in fields["upstreams"].items()
        }
        fields["customers"] = {
            name: {"weight": self._rng.uniform(0.1, 10.0)}
            for name in fields["customers"]
        }
        self._publish(folder=Folder.model_validate(fields))
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        self._publish(folder=Folder.model_validate(self._folder))

    async def _take_out(self):
        self._publish(out_data_centres=frozenset({"dc-1"}))
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        self._publish(out_data_centres=frozenset())

    def _publish(self, **changes):
        document = self._entry.feed.document.successor("search", **changes)
        self._entry.feed.adopt(document.to_json(), "search")

    async def _silence_link(self):
        link = self._rng.choice([*self._entry.links.by_address.values(), None])
        if link is None or link._socket is None:
            return
        peers = [
            peer._socket.transport
            for sidecar in self._system.sidecar_by_name.values()
            for peer in sidecar.links
            if sidecar.settings.upstream == link.name
        ]
        both = [link._socket.transport, *peers]
        silent = self._rng.sample(both, self._rng.randint(1, len(both)))
        for transport in silent:
            transport.pause_reading()
        # So that a large call fills the buffers of a silent link.
        end = link._socket.transport.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        await asyncio.sleep(self._rng.uniform(0.3, MAX_SILENT_SECONDS))
        for transport in silent:
            transport.resume_reading()

    async def _silence_store(self):
        platform = self._system.platform
        platform.delay = self._rng.uniform(0.3, MAX_SILENT_SECONDS)
        await asyncio.sleep(platform.delay)
        platform.delay = 0.0

    async def _restore_store(self):
        platform = self._system.platform
        copy = platform.copy()
        platform.down = True
        await platform.wake_watches()
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        platform.down = False
        await platform.restore(copy)

    async def _pause_process(self):
        seconds = self._rng.uniform(0.3, MAX_PAUSE_SECONDS)
        self.paused += seconds
        asyncio.get_running_loop().pause(seconds)

    async def _cut_link(self):
        for link in [*self._entry.links.by_address.values()]:
            if self._rng.random() < FAULT_SHARE:
                cut_link(link)

    async def _fail_upstream(self):
        kind = self._rng.choice(
            (FaultKind.FAIL, FaultKind.REFUSE, FaultKind.CUT, FaultKind.GARBLE)
        )
        await self._with_rule(FaultRule(kind, share=FAULT_SHARE))

    async def _silence_upstream(self):
        await self._with_rule(FaultRule(FaultKind.SLOW, factor=SLOW_FACTOR))

    async def _with_rule(self, rule):
        faults = self._engine().faults
        faults.append(rule)
        await asyncio.sleep(self._rng.uniform(0.2, MAX_SILENT_SECONDS))
        faults.remove(rule)

    async def _crash_upstream(self):
        engine = self._engine()
        engine.crash()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        engine.restart()

    async def _stop_sidecar(self):
        name = self._rng.choice([*self._system.sidecar_by_name])
        sidecar = self._system.sidecar_by_name[name]
        if sidecar.leaving:
            return
        self._system.killed.append(sidecar)
        update = {"stop_grace": self._rng.uniform(0.2, 3.0)}
        sidecar.settings = sidecar.settings.model_copy(update=update)
        await sidecar.stop()
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
        await self._system.replace_sidecar(name)

    def _engine(self):
        return self._rng.choice([*self._system.engine_by_name.values()])
