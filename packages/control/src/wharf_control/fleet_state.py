"""State of all configured processes, as reported by the entries."""

import asyncio
from dataclasses import dataclass

from wharf_platform.configuration import Folder

__all__ = ["FleetState", "ProcessState"]


@dataclass(frozen=True, slots=True)
class ProcessState:
    """One process with its active revision, or None and the reason in `detail`."""

    name: str
    kind: str
    revision: int | None
    detail: str = ""

    def has_revision(self, revision):
        """Return whether `revision`, or a newer one, is active in this process."""
        return self.revision is not None and self.revision >= revision

    def __str__(self):
        if self.revision is None:
            return f"{self.kind} {self.name}: {self.detail}"
        return f"{self.kind} {self.name}: revision {self.revision} {self.detail}"


@dataclass(frozen=True, slots=True)
class FleetState:
    """States of all entries and sidecars; entries report on linked sidecars."""

    processes: tuple[ProcessState, ...]

    @classmethod
    async def query(cls, client, folder: Folder):
        """Query the entries in `folder` and return the state of every process."""
        addresses = [entry.operators for entry in folder.entries.values()]
        dumps = await asyncio.gather(*(client.dump(address) for address in addresses))
        entries = [
            _entry_state(name, dump)
            for name, dump in zip(folder.entries, dumps, strict=True)
        ]
        links = [
            link for dump in dumps if dump.is_ok() for link in _open_links(dump.ok())
        ]
        sidecars = [_sidecar_state(name, links) for name in folder.upstreams]
        return cls((*entries, *sidecars))

    def behind(self, revision) -> list[ProcessState]:
        """Return the processes where `revision` is not known to be active."""
        return [state for state in self.processes if not state.has_revision(revision)]


def _entry_state(name, dump):
    if dump.is_err():
        return ProcessState(name, "entry", None, dump.err())
    state = dump.ok()
    detail = f"({state.get('running')} requests)"
    return ProcessState(name, "entry", state.get("revision"), detail)


def _open_links(dump):
    return [link for link in dump.get("links", []) if link.get("open")]


def _sidecar_state(name, links):
    own = [link for link in links if link.get("upstream") == name]
    if not own:
        return ProcessState(name, "sidecar", None, "no entry has an open link to it")
    latest = max(own, key=lambda link: link["revision"])
    load = latest.get("load") or {}
    detail = f"({load.get('in_flight')} of {load.get('limit')} calls)"
    if load.get("leaving"):
        detail += " leaving"
    return ProcessState(name, "sidecar", latest["revision"], detail)
