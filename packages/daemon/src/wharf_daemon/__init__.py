"""The wharfd daemon: entries serve callers, sidecars run beside upstreams."""

from wharf_daemon.entry import Entry, EntrySettings
from wharf_daemon.sidecar import Sidecar, SidecarSettings

__all__ = ["Entry", "EntrySettings", "Sidecar", "SidecarSettings"]
