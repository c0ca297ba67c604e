"""Registration of gateways in the platform's store."""

import asyncio
from dataclasses import asdict

import structlog
from pydantic import ValidationError
from result import Err, Ok

from wharf_gateway.peers.gateway_entry import GatewayEntries, GatewayEntry
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["Registry"]

log = structlog.get_logger(__name__)

CONFLICT = 409  # HTTP status if the object already exists
# Only the links to peers depend on the registration, requests don't.
RETRY_INTERVAL_SECONDS = 1.0


class Registry:
    """Register this gateway and keep the entries of all gateways.

    Entries of stopped gateways remain in the store; the links show which gateways run.
    `on_change` is called with the entries by name.
    """

    def __init__(self, settings, store, rng, on_change):
        self._settings = settings
        self._store = store
        self._rng = rng
        self._on_change = on_change
        self.entry_by_name = {}

    async def register(self):
        """Write this gateway's entry to the store; retry until it succeeds."""
        settings = self._settings
        entry = GatewayEntry(
            f"{settings.host}:{settings.peer_port}",
            settings.data_centre,
            settings.capacity,
        )
        while not await self._write(settings.name, asdict(entry)):
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * RETRY_INTERVAL_SECONDS)

    def replace_entries(self, objects, now):
        """Replace the known entries by a listing."""
        self.entry_by_name = {}
        self.update_entries(objects, now)

    def update_entries(self, objects, now):
        """Apply created, changed and deleted entries."""
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
        """Create or replace the entry; return whether that succeeded."""
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
