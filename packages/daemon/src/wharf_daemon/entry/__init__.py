"""The process on the entry hosts behind the balancer."""

from wharf_daemon.entry.entry import Entry
from wharf_daemon.entry.settings import EntrySettings

__all__ = ["Entry", "EntrySettings"]
