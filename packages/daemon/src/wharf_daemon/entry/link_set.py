"""The links of an entry, kept in step with the configuration."""

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

__all__ = ["LinkSet"]

LINKS_PER_GROUP = 24


class LinkSet:
    """Open links to a subset of the sidecars, and to the peers of the settings.

    Each pool's upstreams of one version form a group; an entry links to all of
    a small group and to a part of a large one, its own data centre first. The
    name of each upstream that reports is published to `reports`.
    """

    def __init__(self, entry, rng):
        self._entry = entry
        self._rng = rng
        self._task_by_address = {}
        self._names_by_pool = {}
        self._view_by_upstream = defaultdict(UpstreamView)
        self.by_address = {}
        self.leaving = frozenset()
        self.reports = Subject()

    def follow(self, document):
        """Link to the upstreams of `document`, or to the peers without one."""
        folder = document.folder
        names = self._linked_names(folder)
        names_by_pool = defaultdict(list)
        for name in names:
            names_by_pool[folder.upstreams[name].pool].append(name)
        self._names_by_pool = names_by_pool
        for name in self._view_by_upstream.keys() - names:
            if not self._view_by_upstream[name].own_calls:
                del self._view_by_upstream[name]
        addresses = {folder.upstreams[name].address for name in names}
        self.reconcile(addresses or self._entry.settings.peers)

    def reconcile(self, addresses):
        """Open links to new addresses and close those no longer wanted."""
        wanted = set(addresses)
        for address in wanted - self.by_address.keys():
            link = SidecarLink(address, self._entry, self._rng)
            self.by_address[address] = link
            self._task_by_address[address] = asyncio.create_task(link.run())
        for address in self.by_address.keys() - wanted:
            del self.by_address[address]
            self._task_by_address.pop(address).cancel()

    def candidates(
        self, document, pool, version, excluded, priority=Priority.URGENT
    ) -> list[Candidate]:
        """Return the upstreams of `pool` that could run a call of `version`.

        Their limits are those that hold for a call of `priority`.
        """
        folder = document.folder
        now = asyncio.get_running_loop().time()
        default_version = folder.pools[pool].version
        return [
            self._candidate(name, upstream, link, default_version, priority)
            for name in self._names_by_pool.get(pool, ())
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

    def place(self, upstream):
        """Count a call as given to `upstream`."""
        self._view_by_upstream[upstream].own_calls += 1

    def release(self, upstream):
        """Count a call as ended."""
        self._view_by_upstream[upstream].own_calls -= 1

    def observe_report(self, link):
        """Take a link's new load report into account."""
        now = asyncio.get_running_loop().time()
        view = self._view_by_upstream[link.name]
        view.observe_report(link.load.in_flight, link.load.limit, now)
        self.reports.on_next(link.name)

    def observe_end(self, link, end):
        """Take the load on an attempt's closing frame into account."""
        view = self._view_by_upstream[link.name]
        # The attempt that ended still counts as placed.
        view.observe_load(end.in_flight + 1, end.limit)

    def observe_full(self, candidate):
        """Expect no more room than `candidate` had until the next report.

        The refused call still counts as placed.
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
        )

    def _linked_names(self, folder):
        names_by_group = defaultdict(list)
        for name, upstream in folder.upstreams.items():
            names_by_group[upstream.pool, upstream.version].append(name)
        return {
            name
            for names in names_by_group.values()
            for name in self._subset(folder, names)
        }

    def _subset(self, folder, names):
        settings = self._entry.settings
        here = [
            name
            for name in names
            if folder.upstreams[name].data_centre == settings.data_centre
        ]
        near = subset(settings.name, here, LINKS_PER_GROUP // 2)
        far = subset(settings.name, set(names) - near, LINKS_PER_GROUP - len(near))
        return near | far

    def notify_revision(self):
        """Tell every sidecar that is behind of the newer configuration."""
        for link in self.by_address.values():
            link.notify_revision()

    async def send_all(self, message):
        """Send a message over every open link."""
        await asyncio.gather(*(link.send(message) for link in self.by_address.values()))

    def close(self):
        """Close all links."""
        self.reconcile(())
