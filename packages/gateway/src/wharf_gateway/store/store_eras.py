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
    `callbacks` is called with that time when a later era begins.
    """

    current: int | None = None
    restored_at: float = float("-inf")
    callbacks: list = field(default_factory=list)

    def record(self, era, now):
        """Record the era that an answer of the store names.

        An answer of an earlier era, which was delayed, changes nothing.
        """
        known = self.current
        if known is not None and era <= known:
            return
        self.current = era
        if known is None:
            return
        log.warning("store_restored", era=era, previous=known)
        self.restored_at = now
        for callback in self.callbacks:
            callback(now)
