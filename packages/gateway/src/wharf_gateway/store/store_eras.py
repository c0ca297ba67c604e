"""The eras of the store's history that this gateway has seen."""

from dataclasses import dataclass, field

import structlog

__all__ = ["StoreEras"]

log = structlog.get_logger(__name__)


@dataclass(slots=True)
class StoreEras:
    """The newest era of the store, and when a later one than the first was noticed.

    A store that comes back from a copy begins a new era: what was written after the
    copy is gone, and revisions are given out again. `current` is None until an answer
    has named an era. `restored_at` is the event loop's time, in seconds. Each of
    `callbacks` is called with that time when a later era begins. `heard` is the latest
    era that a peer has named; it only leads to a call of the store.
    """

    current: int | None = None
    restored_at: float = float("-inf")
    callbacks: list = field(default_factory=list)
    restorations: int = 0
    heard: int | None = None

    def record(self, era, now):
        """Record the era that an answer of the store names.

        An answer of an earlier era, which was delayed, changes nothing, nor does one
        of a store without eras, for which `era` is None.
        """
        known = self.current
        if era is None or (known is not None and era <= known):
            return
        self.current = era
        if known is None:
            return
        log.warning("store_restored", era=era, previous=known)
        self.restored_at = now
        self.restorations += 1
        for callback in self.callbacks:
            callback(now)

    def hear(self, era):
        """Record the era that a peer names; return whether none as late was known."""
        if era is None or era <= self._newest():
            return False
        self.heard = era
        return True

    def is_past(self, era):
        """Return whether the store has named a later era."""
        return era is not None and self.current is not None and era < self.current

    def is_newest(self, era):
        """Return whether neither the store nor a peer has named a later era."""
        return (-1 if era is None else era) >= self._newest()

    def _newest(self):
        known = (self.current, self.heard)
        return max((era for era in known if era is not None), default=-1)
