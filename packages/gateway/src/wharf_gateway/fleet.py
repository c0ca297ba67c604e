"""The current configuration and the state of all upstreams."""

from collections import Counter

import structlog
from result import Err, Ok

from wharf_gateway.rollouts.sole_versions import SoleVersions
from wharf_gateway.rollouts.version_table import VersionTable
from wharf_gateway.routing.evacuations import Evacuations
from wharf_gateway.routing.self_reports import SelfReports
from wharf_gateway.routing.upstream_memory import UpstreamMemory
from wharf_gateway.routing.upstream_state import UpstreamState
from wharf_gateway.store.store_eras import StoreEras

__all__ = ["Fleet"]

log = structlog.get_logger(__name__)

# The platform guarantees that entries which expired during an outage of the store are
# registered again within two seconds of its return. After that, a missing upstream is
# gone.
EXPIRY_GRACE_SECONDS = 2.0
# After the store's return, or the start of this process, which may be just behind it,
# a version without an entry may still come back.
SOLE_GRACE_SECONDS = 2.5
# An entry of a process that is gone expires sooner than this after a restoration, since
# the platform removes it after three heartbeats of silence.
HELD_SECONDS = 10.0


class Fleet:
    """The configuration, the upstreams and the data centres taken out of service.

    An upstream whose entry disappears around an outage of the store is kept until
    `EXPIRY_GRACE_SECONDS` after the store's return. Entries of a restored store that
    are older than what is known are ignored: a draining upstream stays so, and one that
    has left is used again only if its entry is written again or hasn't expired after
    `HELD_SECONDS` in which the store has answered. `is_store_readable()` says whether
    all changes of upstreams are known. `eras` has the time of the last restoration.
    `has_listing` says whether the upstreams have been listed once. Each of
    `removal_callbacks` is called with an upstream that is removed.
    `configuration_object` is what the current configuration was read from.
    `gateway_count` is the number of gateways. `shared_host_services` are the services
    whose upstreams report the pace of hosts that they share with others. `load_view`,
    if set, gets what responses say of loads.
    """

    def __init__(self, dialect, eras=None):
        self._dialect = dialect
        self.eras = eras or StoreEras()
        self.configuration = None
        self.configuration_object = None
        self.has_listing = False
        self.state_by_id = {}
        self._states_by_service = {}
        self._versions = VersionTable()
        self._sole = SoleVersions()
        self._version_by_service = {}
        self._evacuations = Evacuations()
        self.out_data_centres = frozenset()
        self.gateway_count = 1
        self.shared_host_services = set()
        self.load_view = None
        self._grace_end_by_id = {}
        self._left = UpstreamMemory()
        self._reports = SelfReports()
        self._held_by_id = {}
        self._listed_era = None
        self._returned_at = float("-inf")
        self._first_listed_at = None
        self.is_store_readable = lambda: True
        self.removal_callbacks = []

    def record_load(self, state, reply, now):
        """Record the load that an upstream's answer reports, if it does."""
        if reply.running is not None:
            state.record_load(reply.running, reply.waiting, now)
        if reply.host_pace is not None:
            state.record_host_pace(reply.host_pace, now)
            self.shared_host_services.add(state.upstream.service)
        if self.load_view is not None:
            self.load_view.record_report(
                state.upstream, reply.running, reply.waiting, reply.host_pace, now
            )

    def counts(self, now):
        """Return the number of upstreams by state."""
        return Counter((self._state_name(s, now),) for s in self.state_by_id.values())

    def dump(self, now):
        """Return the state of each upstream, for operators."""
        return {
            name: {
                "service": state.upstream.service,
                "data_centre": state.upstream.data_centre,
                "state": self._state_name(state, now),
                "in_flight": state.in_flight,
                "latency": state.latency,
                "pace": round(state.pace, 2),
                "failure_share": round(state.failure_rate, 3),
                "word": state.report.dump(now),
            }
            for name, state in self.state_by_id.items()
        }

    def _state_name(self, state, now):
        upstream = state.upstream
        if upstream.is_draining:
            return "draining"
        if state.report.is_leaving:
            return "leaving"
        if upstream.data_centre in self.out_data_centres:
            return "out"
        if state.report.is_quiet(now):
            return "quiet"
        if state.in_backoff(now):
            return "resting"
        return "cold" if upstream.cold_until > now else "ready"

    def states(self, service):
        """Return the usable upstreams of a service's current version.

        Upstreams that drain or say that they leave, and those in data centres taken out
        of service, are excluded.
        """
        return self._states_of(service, self.version(service))

    def states_or_leaving(self, service, now):
        """Return the usable upstreams, or else those that have just begun to leave."""
        return self.states(service) or [
            state
            for state in self._serving_states(service, self.version(service))
            if state.report.is_last_resort(now)
        ]

    def states_at(self, address):
        """Return the upstreams whose entries have an address."""
        return [s for s in self.state_by_id.values() if s.upstream.address == address]

    @property
    def step_services(self):
        """Return the names of the services that run steps."""
        services = self.configuration.service_by_name if self.configuration else {}
        return [name for name, service in services.items() if service.batching]

    def canary_states(self, service):
        """Return the usable upstreams of the version that a rollout introduces."""
        return self._states_of(service, self._versions.canary_version(service))

    def version(self, service):
        """Return the current version of a service, or None if there is none."""
        if service not in self._version_by_service:
            states = self._states_by_service.get(service, {}).values()
            self._version_by_service[service] = self._versions.version(
                service,
                [state.upstream.version for state in states],
                service in self._sole,
            )
        return self._version_by_service[service]

    def advance_versions(self, now):
        """Use a rollout's new version where no other one is left.

        While entries may be missing that come back, none is found to be the only one.
        """
        targets = self._versions.unfinished_targets()
        services = {s for s, target in targets.items() if self._has_only(s, target)}
        if not self._is_complete(now):
            services = {service for service in services if service in self._sole}
        for service in self._sole.update(services, now):
            self._version_by_service.pop(service, None)
            log.info("sole_version", service=service, is_sole=service in self._sole)

    def sole_seconds(self, service, now):
        """Return for how long only a rollout's new version has been left, or None."""
        return self._sole.seconds(service, now)

    def can_go_back(self, order, now):
        """Return whether an upstream of another version than an order's is there."""
        others = self._others(order.service, order.target)
        return any(not state.in_backoff(now) for state in others)

    def _has_only(self, service, target):
        states = self._states_by_service.get(service, {}).values()
        has_target = any(state.upstream.version == target for state in states)
        return has_target and not self._others(service, target)

    def _others(self, service, target):
        """Return the upstreams of other versions that aren't about to leave."""
        return [
            state
            for state in self._states_by_service.get(service, {}).values()
            if state.upstream.version != target and not state.upstream.is_draining
        ]

    def _is_complete(self, now):
        """Return whether upstreams without an entry are surely gone."""
        if self._first_listed_at is None or not self.is_store_readable():
            return False
        since = max(self._first_listed_at, self._returned_at, self.eras.restored_at)
        return now - since >= SOLE_GRACE_SECONDS

    def apply_order(self, order):
        """Apply an order to move a service to another version, or its new state."""
        self._versions.apply(order)
        self._version_by_service.pop(order.service, None)

    def _states_of(self, service, version):
        return [
            state
            for state in self._serving_states(service, version)
            if state.report.leaving_since is None
        ]

    def _serving_states(self, service, version):
        """Return the upstreams that the store and operators leave in service."""
        return [
            state
            for state in self._states_by_service.get(service, {}).values()
            if state.upstream.version == version
            and not state.upstream.is_draining
            and state.upstream.data_centre not in self.out_data_centres
        ]

    def add(self, upstream):
        """Add an upstream without any measurements and return its state.

        It replaces an upstream with the same id. What this incarnation has said of
        itself holds, though its entry was gone in between.
        """
        self._drop(upstream.id)
        state = UpstreamState(upstream, report=self._reports.take(upstream))
        self.state_by_id[upstream.id] = state
        by_id = self._states_by_service.setdefault(upstream.service, {})
        by_id[upstream.id] = state
        self._version_by_service.pop(upstream.service, None)
        return state

    def data_centre_of(self, handles):
        """Return the data centre that holds most of the results, or ""."""
        makers = Counter(self._dialect.result_address(handle) for handle in handles)
        centres = Counter()
        for state in self.state_by_id.values():
            if state.upstream.address in makers:
                centre = state.upstream.data_centre
                centres[centre] += makers[state.upstream.address]
        return centres.most_common(1)[0][0] if centres else ""

    def apply_configurations(self, objects, now):
        """Apply configurations that are newer than the current one."""
        for stored in objects:
            match self._dialect.read_configuration(stored):
                case Err(fault):
                    log.warning("configuration_rejected", detail=fault)
                case Ok(configuration):
                    self._apply(configuration, stored)

    def replace_upstreams(self, objects, now, recovered_at=None):
        """Replace all upstreams by those of a complete listing."""
        names = {stored.name for stored in objects}
        self.has_listing = True
        if self._first_listed_at is None:
            self._first_listed_at = now
        self._held_by_id.clear()
        era = self.eras.current
        is_restored = era != self._listed_era or self._is_just_restored(now)
        self._listed_era = era
        self._note_return(recovered_at)
        for name in list(self.state_by_id):
            if name not in names:
                self._expire(name, now, recovered_at)
        add = self._add_restored if is_restored else self._add_or_update
        for stored in objects:
            upstream = self._read_upstream(stored, now)
            if upstream is not None and not self._hold(upstream):
                add(upstream)
                self._record_entry(upstream.id, now)

    def update_upstreams(self, objects, now, recovered_at=None):
        """Add, update or remove upstreams whose entries changed."""
        self._note_return(recovered_at)
        for stored in objects:
            self._held_by_id.pop(stored.name, None)
            if stored.is_deleted:
                self._expire(stored.name, now, recovered_at)
                continue
            upstream = self._read_upstream(stored, now)
            if upstream is not None:
                self._add_or_update(upstream)
                self._record_entry(upstream.id, now)

    def remove_expired(self, now):
        """Remove upstreams whose grace period has ended, and use held ones."""
        for name, until in list(self._grace_end_by_id.items()):
            if now >= until:
                self._record_lapsed(name, until)
                self._remove(name, "entry lapsed")
        if self._held_by_id and self._can_release(now):
            held, self._held_by_id = self._held_by_id, {}
            for upstream in held.values():
                self._add_or_update(self._left.last_known(upstream))

    def decay_paces(self, seconds):
        """Lower the pace of slow idle upstreams, so that they are tried again."""
        for state in self.state_by_id.values():
            if state.pace > 1.0 and not state.in_flight:
                state.decay_pace(seconds)

    def replace_evacuations(self, objects, now):
        """Replace all data centres that are taken out of service."""
        names = {stored.name for stored in objects}
        self._evacuations.replace(names, now, self.eras.restored_at)
        self._set_out()

    def update_evacuations(self, objects, now):
        """Take data centres out of service, or bring them back."""
        last_by_name = {stored.name: stored for stored in objects}
        gone = {name for name, last in last_by_name.items() if last.is_deleted}
        self._evacuations.update(last_by_name.keys() - gone, gone)
        self._set_out()

    def advance_evacuations(self, now):
        """Bring back data centres that the restored store lacks."""
        self._evacuations.advance(now)
        self._set_out()

    def remove(self, upstream_id, reason):
        """Remove an upstream that is gone or whose address another one has."""
        self._remove(upstream_id, reason)

    def _apply(self, configuration, stored):
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.configuration_object = stored
        log.info(
            "configuration", version=configuration.version, revision=stored.revision
        )

    def _note_return(self, recovered_at):
        """Record when the store came back from an outage, if there was one."""
        if recovered_at is not None:
            self._returned_at = max(recovered_at, self._returned_at)

    def _read_upstream(self, stored, now):
        """Return an entry's upstream, or None if the entry can't be read."""
        match self._dialect.read_upstream(stored, now):
            case Err(fault):
                log.warning("upstream_unreadable", name=stored.name, detail=fault)
                self._remove(stored.name, "unreadable")
                return None
            case answer:
                return answer.unwrap()

    def _is_just_restored(self, now):
        return now - self.eras.restored_at < HELD_SECONDS

    def _can_release(self, now):
        """Return whether the store would have shown that held upstreams are gone."""
        has_waited = now - self._returned_at >= HELD_SECONDS
        is_due = has_waited and not self._is_just_restored(now)
        return is_due and self.is_store_readable()

    def _hold(self, upstream):
        """Hold a listed upstream that has left in another era; return whether it is."""
        is_unknown = upstream.id not in self.state_by_id
        if not is_unknown or not self._left.has_left(upstream, self._listed_era):
            return False
        log.info("upstream_held", id=upstream.id)
        self._held_by_id[upstream.id] = upstream
        return True

    def _add_restored(self, upstream):
        """Add or update an upstream unless its entry is older than what is known."""
        state = self.state_by_id.get(upstream.id)
        if state is None or not upstream.is_outdated_by(state.upstream):
            self._add_or_update(upstream)
        else:
            self._grace_end_by_id.pop(upstream.id, None)

    def _add_or_update(self, upstream):
        self._grace_end_by_id.pop(upstream.id, None)
        state = self.state_by_id.get(upstream.id)
        if state is None or _is_restarted(state.upstream, upstream):
            self.add(upstream)
            log.info(
                "upstream",
                id=upstream.id,
                service=upstream.service,
                address=upstream.address,
                data_centre=upstream.data_centre,
                draining=upstream.is_draining,
            )
            return
        if state.upstream.is_draining and upstream.sequence < state.upstream.sequence:
            return
        if state.upstream.is_draining != upstream.is_draining:
            log.info("upstream_draining", id=upstream.id, draining=upstream.is_draining)
        state.upstream = upstream

    def _record_entry(self, name, now):
        state = self.state_by_id[name]
        state.report.record_entry(state.upstream.is_draining, now)

    def _expire(self, name, now, recovered_at):
        """Remove an upstream without an entry, after an outage with a delay."""
        if name not in self.state_by_id:
            return
        returned_at = self.eras.restored_at
        if recovered_at is not None:
            returned_at = max(recovered_at, returned_at)
        if now < returned_at + EXPIRY_GRACE_SECONDS:
            self._grace_end_by_id[name] = returned_at + EXPIRY_GRACE_SECONDS
            return
        self._left.record(self.state_by_id[name].upstream, self._listed_era)
        self._remove(name, "entry removed")

    def _record_lapsed(self, name, until):
        """Record an upstream that drained, or that a restored store lacks."""
        state = self.state_by_id.get(name)
        is_restored = until - self.eras.restored_at < HELD_SECONDS
        if state is not None and (state.upstream.is_draining or is_restored):
            self._left.record(state.upstream, self._listed_era)

    def _remove(self, name, reason):
        self._grace_end_by_id.pop(name, None)
        state = self._drop(name)
        if state is None:
            return
        log.info("upstream_gone", id=name, reason=reason)
        for callback in self.removal_callbacks:
            callback(state.upstream)

    def _drop(self, name):
        state = self.state_by_id.pop(name, None)
        if state is not None:
            self._reports.keep(state.upstream, state.report)
            service = state.upstream.service
            del self._states_by_service[service][name]
            self._version_by_service.pop(service, None)
        return state

    def _set_out(self):
        data_centres = self._evacuations.names
        if data_centres != self.out_data_centres:
            self.out_data_centres = data_centres
            log.info(
                "data_centres_out",
                names=sorted(data_centres),
                unconfirmed=sorted(self._evacuations.kept),
            )


def _is_restarted(known, upstream):
    """Return whether an upstream's process differs from the known one."""
    return (known.started_ms, known.service, known.version) != (
        upstream.started_ms,
        upstream.service,
        upstream.version,
    )
