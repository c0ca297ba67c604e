"""The wharfd daemon: entries that face callers, sidecars beside upstreams."""

from wharf_daemon.entry import Entry, EntrySettings
from wharf_daemon.sidecar import Sidecar, SidecarSettings

__all__ = ["Entry", "EntrySettings", "Sidecar", "SidecarSettings"]
