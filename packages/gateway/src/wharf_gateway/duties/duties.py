"""The duties of a gateway: counts, leases and reports."""

import asyncio
from dataclasses import replace
from math import floor
from uuid import uuid4

import structlog

from wharf_coordination.duties import DutyLease
from wharf_coordination.rendezvous import ranked
from wharf_gateway.duties.duty_caller import CALL_SECONDS, DutyCaller
from wharf_gateway.duties.duty_keeper import FIRST_CONTENDERS, DutyKeeper
from wharf_gateway.duties.true_clock import TrueClock
from wharf_gateway.duties.usage_counter import UsageCounter
from wharf_gateway.duties.usage_hooks import UsageHooks
from wharf_gateway.duties.usage_item import UsageItem
from wharf_gateway.duties.usage_ledger import KEPT_WINDOWS, UsageLedger
from wharf_gateway.duties.usage_reporter import UsageReporter
from wharf_gateway.http.connection_pool import ConnectionPool
from wharf_gateway.peers.codec import encode
from wharf_gateway.peers.messages import DutyNotice, LeaseNotice
from wharf_gateway.store.store_client import StoreClient
from wharf_gateway.store.store_position import StorePosition
from wharf_gateway.supervision import supervised

__all__ = ["Duties"]

log = structlog.get_logger(__name__)

USAGE = "usage"
STEP_SECONDS = 0.1
# What a gateway has counted since its last notice is lost if it dies: a twentieth of a
# window of five seconds. In larger fleets that is a smaller part of the whole, and the
# holder shall not have to read more notices.
TOTALS_SECONDS = 0.25
NOTICES_PER_SECOND = 120.0
CLOCK_SECONDS = 1.0
# A gateway that was heard within this time may only be cut off or paused.
SILENT_SECONDS = 10.0
# By then the peers have told their time. A window that this host's clock alone closed
# too early would be decided without the requests that follow.
FIRST_CLOSE_SECONDS = 2.0
# Part of the lease that the holder doesn't rely on, so that a call which was allowed
# arrives in time.
MARGIN_SECONDS = CALL_SECONDS + 0.1
# After a step that came this late, messages of peers may have waited to be read.
LATE_SECONDS = 0.5


class Duties:
    """Count usage, tell it to the holder of the duty, and be the holder at times.

    `hooks` is told of requests by their runner. Times are the event loop's;
    `unix_clock()` returns this host's time of day, which may jump, `gateway_count()`
    the number of registered gateways.
    """

    def __init__(
        self,
        settings,
        dialect,
        pool,
        store_limits,
        eras,
        peers,
        gateway_count,
        clock,
        unix_clock,
        meter,
    ):
        own = settings.duties
        self._settings = settings
        self._eras = eras
        self._peers = peers
        self._gateway_count = gateway_count
        self._clock = clock
        self._unix_clock = unix_clock
        self._meter = meter
        self._started_at = now = clock()
        self._incarnation = uuid4().hex[:12]
        self._true_clock = TrueClock()
        self._true_clock.record(settings.name, unix_clock(), now)
        self._true_clock.refresh(now)
        unix = self._true_clock.unix
        self._counter = UsageCounter(own.usage_window_seconds)
        self.hooks = UsageHooks(self._counter, unix)
        self._ledger = UsageLedger(own.usage_window_seconds, own.usage_late_seconds)
        self.lease = DutyLease(
            settings.name, self._incarnation, own.lease_seconds, MARGIN_SECONDS, now
        )
        # A connection of its own, so that others' calls never delay a renewal.
        self._store = StoreClient(
            settings.store,
            dialect,
            ConnectionPool(max_idle=1, limits=store_limits),
            clock,
            eras,
        )
        self._keeper = DutyKeeper(
            USAGE, self.lease, self._store, dialect, eras, clock, unix, meter
        )
        caller = DutyCaller(own.address, pool, clock, own.calls_per_second, meter)
        self._reporter = UsageReporter(
            self.lease, self._ledger, caller, dialect, clock, unix, meter, settings.name
        )
        self._keeper.rank = self._rank
        self._keeper.holds_back = self._holds_back
        self._keeper.is_calling = lambda: self._reporter.is_calling
        self._keeper.decide = self._decide
        self._keeper.on_read = self._on_read
        self._keeper.on_stored = self._on_stored
        self._eras.callbacks.append(self._on_restoration)
        self._holder = None
        self._heard_at_by_name = {}
        self._uncertain = 0
        self._targets = ()
        self._posted_closed = None
        self._posted_at = self._clock_posted_at = self._stepped_at = now
        self._trusts_at = now
        self._tasks = []
        self._add_gauges()

    def start(self):
        """Begin to count, and to contend for the duty."""
        self._tasks = [
            supervised("duties", self._run),
            supervised("lease of usage", self._keeper.run),
            supervised("reports of usage", self._reporter.run),
        ]

    def hand_over(self):
        """Release what is held, and contend no more; counting goes on."""
        self._reporter.is_leaving = self._keeper.is_leaving = True

    def stop(self):
        """Tell the last totals, to which nothing will be added, and end."""
        self._counter.end_all(self._true_clock.unix(self._clock()))
        self._post(self._clock(), ends=True)
        for task in self._tasks:
            task.cancel()

    def greet(self, link):
        """Tell a new peer the time of day, the totals and the decisions."""
        link.post(self._notice(self._counter.totals()))
        through, decided = self._ledger.decided
        if through is not None:
            link.post(
                LeaseNotice(USAGE, "", 0, through=through, decided=_items(decided))
            )

    def handle_notice(self, message, link, now):
        """Record a peer's time of day and totals."""
        if now >= self._trusts_at:
            self._true_clock.record(link.name, message.unix_seconds, now)
        self._heard_at_by_name[link.name] = now
        self._ledger.record(
            link.name, message.incarnation, message.closed, message.items
        )

    def handle_lease(self, message, now):
        """Record who holds the duty, and what has been decided."""
        if message.duty != USAGE:
            return
        decided = {item.window: item.counts for item in message.decided}
        self._ledger.learn(message.through, decided)
        self.lease.hear_token(message.token)
        if message.revision is None or not self._eras.is_newest(message.era):
            return
        position = StorePosition(message.era, message.revision)
        known = self.lease.version
        is_comparable = known is None or known.era == position.era
        if not is_comparable or (known is not None and known.includes(position)):
            return
        self.lease.hear(position, message.token, now)
        self._set_holder(message.holder, message.token, now)
        if not message.holder:
            self._keeper.tell_free(now)

    def dump(self, now):
        """Return who holds the duty, for operators."""
        holder, token, since = self._holder or (None, None, None)
        through, _ = self._ledger.decided
        return {
            USAGE: {
                "holder": holder,
                "token": token,
                "held_seconds": None if since is None else round(now - since, 3),
                "is_own": self.lease.is_holder,
                "is_valid": self.lease.is_valid(now),
                "decided_window": through,
                "closed_window": self._counter.closed,
                "unix_seconds": round(self._true_clock.unix(now), 3),
            }
        }

    def _add_gauges(self):
        def held():
            return {(USAGE,): int(self.lease.is_valid(self._clock()))}

        self._meter.gauge("wharf_duty_held", held)
        self._meter.gauge("wharf_duty_token", lambda: {(USAGE,): self.lease.token})
        self._meter.gauge("wharf_duty_store_calls", lambda: {(): self._store.calls})
        self._meter.gauge("wharf_usage_late", lambda: {(): self._ledger.late})
        self._meter.gauge("wharf_usage_uncertain", lambda: {(): self._uncertain})

    async def _run(self):
        while True:
            await asyncio.sleep(STEP_SECONDS)
            self.step(self._clock())

    def step(self, now):
        """Close windows and tell what has changed, as far as it is due."""
        if now - self._stepped_at > STEP_SECONDS + LATE_SECONDS:
            self._trusts_at = now + LATE_SECONDS
        self._stepped_at = now
        self._true_clock.record(self._settings.name, self._unix_clock(), now)
        self._true_clock.refresh(now)
        unix = self._true_clock.unix(now)
        if now - self._started_at >= FIRST_CLOSE_SECONDS:
            self._counter.close(unix)
        interval = max(TOTALS_SECONDS, self._gateway_count() / NOTICES_PER_SECOND)
        if now - self._posted_at >= interval:
            self._posted_at = now
            self._post(now)
            self._counter.forget(self._window(unix) - KEPT_WINDOWS)
            self._ledger.forget(unix)

    def _post(self, now, *, ends=False):
        """Tell the totals to those who need them, and the time of day to all."""
        changes = self._counter.changes()
        closed = self._counter.closed
        own = self._settings.name
        self._ledger.record(own, self._incarnation, closed, changes)
        is_clock_due = ends or now - self._clock_posted_at >= CLOCK_SECONDS
        if is_clock_due:
            self._clock_posted_at = now
        links, targets = self._peers.link_by_name, self._target_names(now)
        new = set(targets) - set(self._targets)
        self._targets = targets
        has_news = changes or closed != self._posted_closed or is_clock_due
        self._posted_closed = closed
        notice = self._notice(changes)
        for name in targets:
            if name in new:
                links[name].post(self._notice(self._counter.totals()))
            elif has_news:
                links[name].post(notice)
        if is_clock_due and self._peers.is_candidate:
            frame = encode(self._notice(()))
            for name in links.keys() - set(targets):
                links[name].post_frame(frame)

    def _notice(self, items):
        unix_seconds = max(0.0, self._unix_clock())
        return DutyNotice(
            self._incarnation, unix_seconds, self._counter.closed, tuple(items)
        )

    def _target_names(self, now):
        """Return the names of the other gateways that need the totals."""
        names = {*self._contenders(now)[:FIRST_CONTENDERS]}
        if self._holder is not None:
            names.add(self._holder[0])
        names.discard(self._settings.name)
        return tuple(sorted(names & self._peers.link_by_name.keys()))

    def _contenders(self, now):
        peers = self._peers
        names = {name for name in peers.responsive(now) if name in peers.candidates}
        if peers.is_candidate and not self._keeper.is_leaving:
            names.add(self._settings.name)
        return ranked(USAGE, names)

    def _rank(self):
        names = self._contenders(self._clock())
        own = self._settings.name
        return names.index(own) if own in names else None

    def _holds_back(self):
        """Return whether this gateway hears under half of the other contenders.

        It may be cut off from the others, and would report without their counts.
        """
        others = self._peers.candidates - {self._settings.name}
        heard = self._peers.responsive(self._clock()).keys() & others
        return 2 * len(heard) < len(others)

    def _decide(self, now, settles):
        present = {self._settings.name, *self._peers.responsive(now)}
        unix = self._true_clock.unix(now)
        for name, heard_at in list(self._heard_at_by_name.items()):
            if now - heard_at > SILENT_SECONDS:
                del self._heard_at_by_name[name]
        silent = self._heard_at_by_name.keys() - present
        decision = self._ledger.decide(unix, present, silent, settles)
        return replace(decision, era=self._eras.current)

    def _on_read(self, record):
        self._ledger.begin_from(record.decision)
        is_of_copy = record.decision.era != self._eras.current
        if is_of_copy and not self._eras.restorations:
            # The store was restored before this process began, and nobody has written
            # since who may know of the decisions that the copy lacks.
            unix = self._true_clock.unix(self._started_at)
            self._ledger.leave_undecided(self._window(unix))
        self._set_holder(record.holder, record.token, self._clock())

    def _on_stored(self, record, position, now):
        decision, (before, known) = record.decision, self._ledger.decided
        new = {
            window: counts
            for window, counts in decision.counts_by_window.items()
            if window not in known
        }
        self._log_decided(before, new, decision)
        self._ledger.learn(decision.through, decision.counts_by_window)
        self._reporter.stored_at = now
        self._set_holder(record.holder, record.token, now)
        fields = (USAGE, record.holder, record.token, position.era, position.revision)
        plain = encode(LeaseNotice(*fields, decision.through))
        full = encode(LeaseNotice(*fields, decision.through, _items(new)))
        for name, link in list(self._peers.link_by_name.items()):
            link.post_frame(full if name in self._peers.candidates else plain)

    def _log_decided(self, before, new, decision):
        for window, counts in new.items():
            total, uncertain = sum(counts.values()), self._ledger.uncertain(window)
            is_exact = uncertain <= self._settings.duties.usage_tolerance * total
            (log.info if is_exact else log.warning)(
                "usage_decided", window=window, requests=total, uncertain=uncertain
            )
            self._uncertain = uncertain
            self._meter.count("wharf_usage_windows", "decided")
        if before is None or decision.through is None:
            return
        first = max(before + 1, decision.through - KEPT_WINDOWS)
        for window in range(first, decision.through + 1):
            if window not in decision.counts_by_window:
                log.warning("usage_missed", window=window)
                self._meter.count("wharf_usage_windows", "missed")

    def _on_restoration(self, now):
        self._keeper.forget(now)
        if now - self._started_at < self._settings.duties.usage_late_seconds:
            # A decision may be lost that this process was too young to hear of.
            self._ledger.leave_undecided(self._window(self._true_clock.unix(now)))

    def _set_holder(self, holder, token, now):
        known = self._holder
        if not holder:
            self._holder = None
        elif known is None or known[:2] != (holder, token):
            self._holder = (holder, token, now)
            log.info("duty_holder", duty=USAGE, holder=holder, token=token)

    def _window(self, unix):
        return floor(unix / self._settings.duties.usage_window_seconds)


def _items(counts_by_window):
    return tuple(UsageItem(w, dict(c)) for w, c in counts_by_window.items())
