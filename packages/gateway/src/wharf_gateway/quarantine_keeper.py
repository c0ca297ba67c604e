"""Keeps quarantines in the platform's store, in case all gateways start anew."""

import asyncio
from dataclasses import asdict

import structlog
from pydantic import ValidationError
from result import Err, Ok

from wharf_coordination.rendezvous import fraction
from wharf_gateway.quarantine_document import QuarantineDocument, QuarantineDocuments
from wharf_gateway.restoration import is_in_grace
from wharf_gateway.store.store_eras import StoreEras
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
MAX_LIFTED = 1000  # quarantines whose ends are remembered


class QuarantineKeeper:
    """Make the store's quarantines those of the gateways, and the other way round.

    `guard` has `entries(now)`, `adopt(entry, now)` and `lift(feature, now)`. Only
    gateways that are linked to all others write. What could not be written is tried
    again. Deleting an object ends its quarantine, so that operators can do so. A copy
    of the store may still have it; it is not adopted again, but deleted.
    """

    def __init__(self, name, store, guard, peers, unix_clock, eras=None):
        self._name = name
        self._store = store
        self._guard = guard
        self._peers = peers
        self._unix_clock = unix_clock
        self._eras = eras or StoreEras()
        self._document_by_feature = None
        self._lifted_by_feature = {}
        self._due_by_feature = {}
        self._tasks = set()

    def replace_documents(self, objects, now):
        """Replace what the store is known to hold by a listing."""
        features = {entry.attribution.feature for entry in self._guard.entries(now)}
        for feature, document in (self._document_by_feature or {}).items():
            if feature not in features:
                self._remember_lifted(feature, document)
        self._document_by_feature = {}
        is_restored = is_in_grace(self._eras, now)
        for stored in objects:
            document = self._read(stored)
            if document is not None and not (
                is_restored and self._is_lifted(stored.name, document)
            ):
                self._adopt(stored.name, document, now)

    def update_documents(self, objects, now):
        """Apply created, changed and deleted documents."""
        for stored in objects:
            known = self._document_by_feature.pop(stored.name, None)
            if stored.is_deleted:
                self._guard.lift(stored.name, now)
                if known is not None:
                    self._remember_lifted(stored.name, known)
                continue
            document = self._read(stored)
            if document is not None:
                self._adopt(stored.name, document, now)

    def _read(self, stored):
        """Record a document; return it, or None if it can't be read."""
        try:
            document = QuarantineDocuments.validate_python(stored.spec)
        except ValidationError as error:
            log.warning("quarantine_unreadable", name=stored.name, detail=str(error))
            return None
        self._document_by_feature[stored.name] = document
        return document

    def _adopt(self, feature, document, now):
        self._guard.adopt(document.to_entry(feature, now, self._unix_clock()), now)

    def _remember_lifted(self, feature, document):
        self._lifted_by_feature.pop(feature, None)
        self._lifted_by_feature[feature] = document
        if len(self._lifted_by_feature) > MAX_LIFTED:
            del self._lifted_by_feature[next(iter(self._lifted_by_feature))]

    def _is_lifted(self, feature, document):
        """Return whether a document is of a quarantine that was lifted."""
        lifted = self._lifted_by_feature.get(feature)
        return lifted is not None and (
            document.ends_at < lifted.ends_at + MAX_END_DIFFERENCE_SECONDS
        )

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
