"""Keeps quarantines in the platform's store, in case all gateways start anew."""

import asyncio
from dataclasses import asdict

import structlog
from pydantic import ValidationError
from result import Err, Ok

from wharf_coordination.rendezvous import fraction
from wharf_gateway.quarantine_document import QuarantineDocument, QuarantineDocuments
from wharf_gateway.store.store_kind import StoreKind

__all__ = ["QuarantineKeeper"]

log = structlog.get_logger(__name__)

# HTTP statuses if another gateway was first; the watch tells what it wrote.
CONFLICT = 409
NOT_FOUND = 404
# Gateways wait differently long before they write, so that mostly one does.
MAX_WRITE_DELAY_SECONDS = 1.0
# Ends that differ by less are equal; hosts' clocks differ by more than messages take.
MAX_END_DIFFERENCE_SECONDS = 5.0


class QuarantineKeeper:
    """Make the store's quarantines those of the gateways, and the other way round.

    `guard` has `entries(now)`, `adopt(entry, now)` and `lift(feature, now)`. Only
    gateways that are linked to all others write. What could not be written is tried
    again. Deleting an object ends its quarantine, so that operators can do so.
    """

    def __init__(self, name, store, guard, peers, unix_clock):
        self._name = name
        self._store = store
        self._guard = guard
        self._peers = peers
        self._unix_clock = unix_clock
        self._document_by_feature = None
        self._due_by_feature = {}
        self._tasks = set()

    def replace_documents(self, objects, now):
        """Replace what the store is known to hold by a listing."""
        self._document_by_feature = {}
        self.update_documents(objects, now)

    def update_documents(self, objects, now):
        """Apply created, changed and deleted documents."""
        for stored in objects:
            self._document_by_feature.pop(stored.name, None)
            if stored.is_deleted:
                self._guard.lift(stored.name, now)
                continue
            try:
                document = QuarantineDocuments.validate_python(stored.spec)
            except ValidationError as error:
                log.warning(
                    "quarantine_unreadable", name=stored.name, detail=str(error)
                )
                continue
            self._document_by_feature[stored.name] = document
            entry = document.to_entry(stored.name, now, self._unix_clock())
            self._guard.adopt(entry, now)

    def advance(self, now):
        """Write the quarantines that differ in the store and are due."""
        if self._document_by_feature is None or not self._peers.is_candidate:
            return
        entry_by_feature = {e.attribution.feature: e for e in self._guard.entries(now)}
        features = set(entry_by_feature) | set(self._document_by_feature)
        differing = {
            feature
            for feature in features
            if not self._is_kept(feature, entry_by_feature.get(feature), now)
        }
        for feature in set(self._due_by_feature) - differing:
            del self._due_by_feature[feature]
        for feature in differing:
            delay = fraction(feature, self._name) * MAX_WRITE_DELAY_SECONDS
            due = self._due_by_feature.setdefault(feature, now + delay)
            if now >= due:
                self._due_by_feature[feature] = now + 2 * MAX_WRITE_DELAY_SECONDS
                self._write(feature, entry_by_feature.get(feature), now)

    def _is_kept(self, feature, entry, now):
        document = self._document_by_feature.get(feature)
        if entry is None or document is None:
            return entry is document
        ends_at = document.ends_at + now - self._unix_clock()
        return abs(ends_at - entry.ends_at) < MAX_END_DIFFERENCE_SECONDS

    def _write(self, feature, entry, now):
        document = None
        if entry is not None:
            document = QuarantineDocument.from_entry(entry, now, self._unix_clock())
        task = asyncio.ensure_future(self._store_document(feature, document))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _store_document(self, feature, document):
        kind = StoreKind.QUARANTINES
        if document is None:
            answer = await self._store.delete(kind, feature)
        elif feature in self._document_by_feature:
            answer = await self._store.replace(kind, feature, asdict(document))
        else:
            answer = await self._store.create(kind, feature, asdict(document))
        match answer:
            case Ok(_):
                log.info("quarantine_kept", feature=feature, deleted=document is None)
            case Err(error) if error.status not in (CONFLICT, NOT_FOUND):
                log.info("quarantine_not_kept", feature=feature, detail=error.detail)
