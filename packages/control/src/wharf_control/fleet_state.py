"""State of all configured processes, as the entries report it."""

import asyncio
from dataclasses import dataclass

from wharf_platform.configuration import Folder

__all__ = ["FleetState", "ProcessState"]


@dataclass(frozen=True, slots=True)
class ProcessState:
    """One process: its revision, or None with the reason it is not known."""

    name: str
    kind: str
    revision: int | None
    detail: str = ""

    def is_at(self, revision):
        """Return whether a configuration is in force here."""
        return self.revision is not None and self.revision >= revision

    def __str__(self):
        if self.revision is None:
            return f"{self.kind} {self.name}: {self.detail}"
        return f"{self.kind} {self.name}: revision {self.revision} {self.detail}"


@dataclass(frozen=True, slots=True)
class FleetState:
    """The states of the entries and of the sidecars that they are linked to."""

    processes: tuple[ProcessState, ...]

    @classmethod
    async def ask(cls, client, folder: Folder):
        """Return the state of every process that `folder` names."""
        addresses = [entry.operators for entry in folder.entries.values()]
        dumps = await asyncio.gather(*(client.dump(at) for at in addresses))
        entries = [
            _entry_state(name, dump)
            for name, dump in zip(folder.entries, dumps, strict=True)
        ]
        links = [link for dump in dumps if dump.is_ok() for link in _links(dump.ok())]
        sidecars = [_sidecar_state(name, links) for name in folder.upstreams]
        return cls((*entries, *sidecars))

    def behind(self, revision) -> list[ProcessState]:
        """Return the processes where `revision` is not known to be in force."""
        return [state for state in self.processes if not state.is_at(revision)]


def _entry_state(name, dump):
    if dump.is_err():
        return ProcessState(name, "entry", None, dump.err())
    state = dump.ok()
    detail = f"({state.get('running')} requests)"
    return ProcessState(name, "entry", state.get("revision"), detail)


def _links(dump):
    return [link for link in dump.get("links", []) if link.get("open")]


def _sidecar_state(name, links):
    own = [link for link in links if link.get("upstream") == name]
    if not own:
        return ProcessState(name, "sidecar", None, "no entry has a link to it")
    newest = max(own, key=lambda link: link["revision"])
    load = newest.get("load") or {}
    detail = f"({load.get('in_flight')} of {load.get('limit')} calls)"
    if load.get("leaving"):
        detail += " leaving"
    return ProcessState(name, "sidecar", newest["revision"], detail)
