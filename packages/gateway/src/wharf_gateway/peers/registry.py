"""Who the gateways are, by the platform's store."""

import asyncio
from dataclasses import asdict

import structlog
from pydantic import ValidationError
from result import Err, Ok

from wharf_gateway.peers.gateway_entry import GatewayEntries, GatewayEntry
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["Registry"]

log = structlog.get_logger(__name__)

CONFLICT = 409  # the store's answer where an object is there already
PAUSE_SECONDS = 1.0  # between tries; nobody waits for it but the links to peers


class Registry:
    """Register this gateway and know the entries of all.

    Entries of gateways that are gone stay; links tell who lives. `on_change` gets the
    entries by name.
    """

    def __init__(self, settings, store, rng, on_change):
        self._settings = settings
        self._store = store
        self._rng = rng
        self._on_change = on_change
        self.entry_by_name = {}

    async def register(self):
        """Tell the store where this gateway is, until it has it."""
        settings = self._settings
        entry = GatewayEntry(
            f"{settings.host}:{settings.peer_port}",
            settings.data_centre,
            settings.capacity,
        )
        while not await self._write(settings.name, asdict(entry)):
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * PAUSE_SECONDS)

    def replace_entries(self, objects, now):
        """Replace the known gateways by a listing."""
        self.entry_by_name = {}
        self.update_entries(objects, now)

    def update_entries(self, objects, now):
        """Take gateways that came, moved or went."""
        for stored in objects:
            self.entry_by_name.pop(stored.name, None)
            if stored.is_deleted:
                continue
            try:
                entry = GatewayEntries.validate_python(stored.spec)
            except ValidationError as error:
                log.warning("entry_unreadable", name=stored.name, detail=str(error))
            else:
                self.entry_by_name[stored.name] = entry
        self._on_change(self.entry_by_name)

    async def _write(self, name, spec):
        """Create or replace the entry; return whether the store has it."""
        match await self._store.create(StoreKind.ENTRIES, name, spec):
            case Ok(_):
                return True
            case Err(error) if error.status == CONFLICT:
                answer = await self._store.replace(StoreKind.ENTRIES, name, spec)
            case answer:
                pass
        if answer.is_err():
            log.info("not_registered", detail=answer.unwrap_err().detail)
        return answer.is_ok()
