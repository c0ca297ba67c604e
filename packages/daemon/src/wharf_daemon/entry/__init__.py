"""The entry process, which runs on hosts behind the load balancer."""

from wharf_daemon.entry.entry import Entry
from wharf_daemon.entry.settings import EntrySettings

__all__ = ["Entry", "EntrySettings"]
