"""The sidecar process, which runs beside each upstream."""

from wharf_daemon.sidecar.settings import SidecarSettings
from wharf_daemon.sidecar.sidecar import Sidecar

__all__ = ["Sidecar", "SidecarSettings"]
