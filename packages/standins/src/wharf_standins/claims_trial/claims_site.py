"""Emulated entries and sidecars that share one store."""

import asyncio
from collections import defaultdict
from random import Random

from wharf_coordination import Deadline, Priority
from wharf_daemon.entry.claim_service import ClaimService
from wharf_daemon.entry.forwarded_claims import ForwardedClaims
from wharf_daemon.entry.pending_replies import PendingReplies
from wharf_daemon.entry.request import Request
from wharf_daemon.entry.stage_task import StageTask
from wharf_platform.configuration import Document, Folder, Stage
from wharf_standins.claims_trial.store_view import StoreView
from wharf_standins.claims_trial.trial_process import TrialProcess
from wharf_standins.claims_trial.trial_sidecar import TrialLink, TrialSidecar
from wharf_standins.claims_trial.trial_stages import TrialStages
from wharf_standins.faulty_store import FaultyStore

__all__ = ["ClaimsSite"]

BOOK = Stage(name="book", pool="desk", idempotent=False)
FOLDER = {
    "data_centres": {"dc-1": {}},
    "pools": {"desk": {"kind": "service", "version": "1"}},
    "pipelines": {"hold": {"stages": [BOOK.model_dump()]}},
    "customers": {"acme": {}},
}


class ClaimsSite:
    """Entries and sidecars around one store, with the faults that a trial wants.

    All runs of stages are in `ids_by_key`: ids of requests by idempotency key.
    """

    def __init__(self, seed=1, entries=3, sidecars=2, ends=("answer",)):
        self.rng = Random(seed)
        self.store = FaultyStore(self.rng)
        self.ids_by_key = defaultdict(list)
        self.ends = ends
        self.sidecar_by_name = {}
        self.entries = []
        self._feed = _Feed(sidecars)
        self._killed = []
        for number in range(sidecars):
            self.start_sidecar(f"desk-{number}")
        for number in range(entries):
            self.entries.append(self._entry(f"entry-{number}"))

    def start_sidecar(self, name, clock_error=0.0):
        """Start a sidecar, which takes the place of one with the same name."""
        process = TrialProcess(name, self.rng, clock_error)
        self.sidecar_by_name[name] = TrialSidecar(self.store, process)

    def restart_entry(self, number, clock_error=0.0):
        """Kill an entry and start one that knows nothing in its place."""
        self._kill(self.entries[number])
        self.entries[number] = self._entry(f"entry-{number}", clock_error)

    def restart_sidecar(self, name, clock_error=0.0):
        """Kill a sidecar and start one that knows nothing in its place."""
        self._kill(self.sidecar_by_name[name])
        self.start_sidecar(name, clock_error)

    def processes(self):
        """Return all processes that were not killed."""
        daemons = (*self.entries, *self.sidecar_by_name.values())
        return [daemon.process for daemon in daemons]

    async def submit(self, number, id, key, seconds=3.0, body=b"{}"):
        """Return the result of a request at one entry, or None if it is killed."""
        entry = self.entries[number]
        now = asyncio.get_running_loop().time()
        deadline = Deadline.after(seconds, now)
        request = Request(
            id, "hold", "acme", Priority.URGENT, deadline, key, False, body
        )
        run = entry.process.start(
            entry.claims.runner.run(StageTask(request, BOOK, body))
        )
        await asyncio.wait([run])
        return None if run.cancelled() else run.result()

    def _kill(self, daemon):
        daemon.process.kill()
        # Its tasks wait for it for ever, so it must not be collected.
        self._killed.append(daemon)

    def _entry(self, name, clock_error=0.0):
        process = TrialProcess(name, self.rng, clock_error)
        return _Entry(self, process, self._feed)


class _Feed:
    def __init__(self, sidecars):
        upstreams = {
            f"desk-{number}": {
                "pool": "desk",
                "data_centre": "dc-1",
                "address": f"desk-{number}:1",
            }
            for number in range(sidecars)
        }
        folder = Folder.model_validate(FOLDER | {"upstreams": upstreams})
        self.document = Document(revision=1, folder=folder)


class _Links:
    def __init__(self, process, replies, site, document):
        self.by_address = {
            upstream.address: TrialLink(process, replies, site.sidecar_by_name, name)
            for name, upstream in document.folder.upstreams.items()
        }


class _Entry:
    def __init__(self, site, process, feed):
        self.process = process
        replies = PendingReplies(f"{process.name}-{site.rng.getrandbits(32)}")
        links = _Links(process, replies, site, feed.document)
        view = StoreView(site.store, process)
        store = ForwardedClaims(
            view, site.rng, links, feed, replies, process.wall_clock
        )
        self.stages = TrialStages(process, site.ids_by_key, site.ends)
        self.claims = ClaimService(self.stages, store, process.name, site.rng)
        self.store_view = view
