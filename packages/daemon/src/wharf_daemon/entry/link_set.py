"""Links of an entry to sidecars, as the configuration lists them."""

import asyncio
from collections import defaultdict

from reactivex.subject import Subject

from wharf_coordination import (
    Candidate,
    Priority,
    UpstreamView,
    limit_for_priority,
    subset,
)
from wharf_daemon.entry.sidecar_link import SidecarLink
from wharf_daemon.supervision import supervised

__all__ = ["LinkSet"]

LINKS_PER_GROUP = 24


class LinkSet:
    """Maintain links to a subset of the sidecars and track their load.

    Each pool's upstreams of one version form a group. An entry links to at most
    `LINKS_PER_GROUP` of a group and prefers its own data centre. Without
    configured upstreams it links to the peers of its settings. The name of each
    upstream that sends a load report is published to `reports`.
    """

    def __init__(self, entry, rng):
        self._entry = entry
        self._rng = rng
        self._task_by_address = {}
        self._retired_tasks = set()
        self._linked_names_by_pool = {}
        self._view_by_upstream = defaultdict(UpstreamView)
        self.by_address = {}
        self.leaving = frozenset()
        self.reports = Subject()

    def apply_configuration(self, document):
        """Link to upstreams of `document`, or to the peers if it has none."""
        folder = document.folder
        names = self._linked_names(folder)
        names_by_pool = defaultdict(list)
        for name in names:
            names_by_pool[folder.upstreams[name].pool].append(name)
        self._linked_names_by_pool = names_by_pool
        for name in self._view_by_upstream.keys() - names:
            if not self._view_by_upstream[name].own_calls:
                del self._view_by_upstream[name]
        addresses = {folder.upstreams[name].address for name in names}
        self.reconcile(addresses or self._entry.settings.peers)

    def reconcile(self, addresses):
        """Open links to new addresses and close links to all others.

        A link with calls is closed after the last of them.
        """
        wanted = set(addresses)
        for address in wanted - self.by_address.keys():
            link = SidecarLink(address, self._entry, self._rng)
            self.by_address[address] = link
            self._task_by_address[address] = supervised(f"link {address}", link.run)
        for address in self.by_address.keys() - wanted:
            self._retire(self.by_address.pop(address), address)

    def _retire(self, link, address):
        task = self._task_by_address.pop(address)
        if not link.in_flight:
            task.cancel()
            return
        link.retire()
        self._retired_tasks.add(task)
        task.add_done_callback(self._retired_tasks.discard)

    def candidates(
        self, document, pool, version, excluded, priority=Priority.URGENT
    ) -> list[Candidate]:
        """Return the available upstreams of `pool` that run `version`.

        Their limits are those for calls of `priority`.
        """
        folder = document.folder
        now = asyncio.get_running_loop().time()
        default_version = folder.pools[pool].version
        return [
            self._candidate(name, upstream, link, default_version, priority)
            for name in self._linked_names_by_pool.get(pool, ())
            if (upstream := folder.upstreams.get(name))
            and name not in excluded
            and name not in self.leaving
            and upstream.data_centre not in document.out_data_centres
            and (upstream.version or default_version) == version
            and (link := self.by_address.get(upstream.address))
            and link.is_open
            and not link.load.leaving
            and not self._view_by_upstream[name].is_silent(now)
        ]

    def acquire(self, upstream):
        """Count a call as assigned to `upstream`."""
        self._view_by_upstream[upstream].own_calls += 1

    def release(self, upstream):
        """Count a call as ended."""
        self._view_by_upstream[upstream].own_calls -= 1

    def observe_report(self, link):
        """Record a link's new load report."""
        now = asyncio.get_running_loop().time()
        view = self._view_by_upstream[link.name]
        view.observe_report(link.load.in_flight, link.load.limit, now)
        self.reports.on_next(link.name)

    def observe_end(self, link, end):
        """Record the load in the final frame of an attempt."""
        view = self._view_by_upstream[link.name]
        # The ended attempt has not been released yet.
        view.observe_load(end.in_flight + 1, end.limit)

    def observe_full(self, candidate):
        """Assume until the next report that the upstream's capacity is in use.

        The refused call must not have been released yet.
        """
        view = self._view_by_upstream[candidate.upstream]
        view.observe_full(candidate.limit + 1)

    def _candidate(self, name, upstream, link, default_version, priority):
        view = self._view_by_upstream[name]
        return Candidate(
            upstream=name,
            data_centre=upstream.data_centre,
            version=upstream.version or default_version,
            in_flight=view.in_flight,
            limit=limit_for_priority(priority, view.limit),
            service_time=link.load.service_time,
            is_cold=link.load.cold,
        )

    def _linked_names(self, folder):
        names_by_group = defaultdict(list)
        for name, upstream in folder.upstreams.items():
            names_by_group[upstream.pool, upstream.version].append(name)
        return {
            name
            for names in names_by_group.values()
            for name in self._select_from_group(folder, names)
        }

    def _select_from_group(self, folder, names):
        settings = self._entry.settings
        local = [
            name
            for name in names
            if folder.upstreams[name].data_centre == settings.data_centre
        ]
        near = subset(settings.name, local, LINKS_PER_GROUP // 2)
        far = subset(settings.name, set(names) - near, LINKS_PER_GROUP - len(near))
        return near | far

    def notify_revision(self):
        """Notify sidecars with an older configuration of the current revision."""
        for link in self.by_address.values():
            link.notify_revision()

    async def send_all(self, message):
        """Send a message over all open links."""
        await asyncio.gather(*(link.send(message) for link in self.by_address.values()))

    def close(self):
        """Close all links at once."""
        tasks = {*self._task_by_address.values(), *self._retired_tasks}
        for task in tasks:
            task.cancel()
        self._task_by_address.clear()
        self.by_address.clear()
