"""Registration of gateways in the platform's store."""

import asyncio
from dataclasses import asdict

import structlog
from pydantic import ValidationError
from result import Err

from wharf_coordination.backoff import Backoff
from wharf_gateway.peers.gateway_entry import GatewayEntries, GatewayEntry
from wharf_gateway.restoration import is_in_grace
from wharf_gateway.store.store_eras import StoreEras
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["Registry"]

log = structlog.get_logger(__name__)

CONFLICT = 409  # HTTP status if the object already exists
# Only the links to peers depend on the registration, requests don't.
RETRY_INTERVAL_SECONDS = 1.0
# The watch tells of a write well within this time, unless the store can't be read.
CONFIRM_BACKOFF = Backoff(first=2.0, longest=30.0)
# The store's limit is 400 writes a second; a restoration may cost every gateway one.
WRITES_PER_SECOND = 300.0


class Registry:
    """Register this gateway and keep the entries of all gateways.

    Entries of stopped gateways remain in the store; the links show which gateways run.
    `on_change` is called with the entries by name. If the store loses this gateway's
    entry, it is written again; entries of others are kept for the grace in which these
    do the same.
    """

    def __init__(self, settings, store, rng, on_change, eras=None):
        self._settings = settings
        self._store = store
        self._rng = rng
        self._on_change = on_change
        self._eras = eras or StoreEras()
        self._own_entry = GatewayEntry(
            f"{settings.host}:{settings.peer_port}",
            settings.data_centre,
            settings.capacity,
        )
        self._stored_by_name = {}
        self._kept_by_name = {}
        self._lost = asyncio.Event()
        self.entry_by_name = {}

    async def register(self):
        """Write this gateway's entry to the store now, and when the store lacks it."""
        while True:
            await self._write_until_stored()
            await self._lost.wait()
            log.info("registration_lost")
            # By chance, so that all gateways together keep within the store's rate.
            seconds = len(self.entry_by_name) / WRITES_PER_SECOND
            await asyncio.sleep(self._rng.uniform(0.0, seconds))

    def replace_entries(self, objects, now):
        """Replace the known entries by a listing."""
        known = self.entry_by_name if is_in_grace(self._eras, now) else {}
        self._stored_by_name = {}
        self._kept_by_name = {}
        self._read(objects)
        self._kept_by_name = {
            name: entry
            for name, entry in known.items()
            if entry != self._stored_by_name.get(name)
        }
        self._update()

    def update_entries(self, objects, now):
        """Apply created, changed and deleted entries."""
        self._read(objects)
        self._update()

    def advance(self, now):
        """Drop the entries that no gateway has written again in time."""
        if self._kept_by_name and not is_in_grace(self._eras, now):
            log.info("entries_dropped", names=sorted(self._kept_by_name))
            self._kept_by_name = {}
            self._update()

    def _read(self, objects):
        for stored in objects:
            self._stored_by_name.pop(stored.name, None)
            self._kept_by_name.pop(stored.name, None)
            if stored.is_deleted:
                continue
            try:
                entry = GatewayEntries.validate_python(stored.spec)
            except ValidationError as error:
                log.warning("entry_unreadable", name=stored.name, detail=str(error))
            else:
                self._stored_by_name[stored.name] = entry

    def _update(self):
        self.entry_by_name = self._stored_by_name | self._kept_by_name
        if self._is_stored():
            self._lost.clear()
        else:
            self._lost.set()
        self._on_change(self.entry_by_name)

    def _is_stored(self):
        return self._stored_by_name.get(self._settings.name) == self._own_entry

    async def _write_until_stored(self):
        writes = 0
        while not self._is_stored():
            if await self._write(self._settings.name, asdict(self._own_entry)):
                writes += 1
                await asyncio.sleep(CONFIRM_BACKOFF.delay(writes, self._rng))
            else:
                seconds = self._rng.uniform(0.5, 1.0) * RETRY_INTERVAL_SECONDS
                await asyncio.sleep(seconds)

    async def _write(self, name, spec):
        """Create or replace the entry; return whether that succeeded."""
        if name in self._stored_by_name:
            answer = await self._store.replace(StoreKind.ENTRIES, name, spec)
        else:
            answer = await self._create(name, spec)
        if answer.is_err():
            log.info("not_registered", detail=answer.unwrap_err().detail)
        return answer.is_ok()

    async def _create(self, name, spec):
        match await self._store.create(StoreKind.ENTRIES, name, spec):
            case Err(error) if error.status == CONFLICT:
                return await self._store.replace(StoreKind.ENTRIES, name, spec)
            case answer:
                return answer
