"""The wharfd daemon: entries serve callers, sidecars run beside upstreams."""

from importlib import import_module

_MODULE_BY_NAME = {
    "Entry": "entry",
    "EntrySettings": "entry",
    "Sidecar": "sidecar",
    "SidecarSettings": "sidecar",
}

__all__ = ["Entry", "EntrySettings", "Sidecar", "SidecarSettings"]


def __getattr__(name):
    """Return a public class, whose module is loaded now.

    The program sets its handlers of signals before it loads these modules.
    """
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULE_BY_NAME[name]}"), name)
