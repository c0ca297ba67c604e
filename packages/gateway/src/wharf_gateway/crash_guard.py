"""Keeps requests that crash upstreams from being sent to further ones."""

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass, field

import structlog

from wharf_coordination.code import Code
from wharf_coordination.quarantine import (
    Attribution,
    CrashAttribution,
    CrashSuspect,
    Quarantine,
    QuarantineEntry,
)
from wharf_gateway.gateway_response import GatewayResponse
from wharf_gateway.peers.messages import (
    MAX_AGE_SECONDS,
    MAX_SUSPECTS,
    AnsweredNotice,
    CrashNotice,
    QuarantineItem,
    QuarantineNotice,
)
from wharf_gateway.peers.turns import Turns
from wharf_gateway.request_features import all_features
from wharf_gateway.settling_answers import SettlingAnswers

__all__ = ["CrashGuard"]

log = structlog.get_logger(__name__)

# All connections to a crashed upstream break within some milliseconds.
GATHER_SECONDS = 0.02
# The other gateways' reports of a crash arrive within this time of the first.
REPORT_SECONDS = 0.03
# A gateway that has just linked to a candidate learns of all quarantines this soon.
NOTICE_INTERVAL_SECONDS = 1.0
MAX_REPEATED = 64  # quarantines in one notice


@dataclass(slots=True)
class _Loss:
    """Requests that one upstream left unanswered as its connections broke.

    `ended` are those whose answers ended with their connections, as a crash or the
    upstream may end them.
    """

    at: float
    suspects: list[CrashSuspect] = field(default_factory=list)
    ended: list[CrashSuspect] = field(default_factory=list)


class CrashGuard:
    """Attribute crashes to features of requests, and refuse requests with these.

    Each gateway tells the others which of its requests an upstream left without a whole
    answer when it crashed. Any gateway that concludes from this that a feature is the
    cause quarantines it everywhere; one that knows of a whole answer to such a request
    objects, which lifts the quarantine. Two of the gateways that are linked to all
    others repeat what is in quarantine, for those that were away.

    Only an answer that came whole and that its upstream has survived shows that a
    request is harmless: a crash may come behind any part of an answer, the last too.
    """

    def __init__(self, name, pool, peers, clock, meter):
        self._pool = pool
        self._peers = peers
        self._clock = clock
        self._meter = meter
        self._attribution = CrashAttribution()
        self._quarantine = Quarantine(name)
        self._loss_by_upstream = {}
        self._settling = SettlingAnswers()
        self._scope_by_context = {}
        self._tasks = set()
        self._concluding = set()  # processes whose crash is being reported
        self._turns = Turns(NOTICE_INTERVAL_SECONDS, MAX_REPEATED)
        meter.gauge("wharf_quarantined", lambda: {(): len(self._quarantine)})

    # Decisions on requests.

    def refusal(self, context, now):
        """Return the refusal of a request that may run at none of its services.

        Return None if it may run.
        """
        feature = self._block_everywhere(context, now)
        return None if feature is None else self._refusal(context, feature, now)

    def refusal_at(self, context, service, now):
        """Return the refusal of a request that may not run at `service`, or None."""
        feature = self._block(context, service, now)
        return None if feature is None else self._refusal(context, feature, now)

    @contextmanager
    def running(self, context, service):
        """Record that a request runs; only one with a feature on probation may."""
        if not self._quarantine:
            yield
            return
        features, holder = all_features(service, context), context.details.id
        self._quarantine.begin_probation_run(features, holder)
        try:
            yield
        finally:
            self._quarantine.end_probation_run(features, holder)

    @contextmanager
    def interrupting(self, context, scope):
        """Let the timeout `scope` expire once the request may not run any more."""
        self._scope_by_context[context] = scope
        try:
            yield
        finally:
            del self._scope_by_context[context]

    # What happens to requests.

    def record_answered(self, context, upstream, now):
        """Record that an upstream answered a request whole."""
        suspect = _suspect(context, upstream, True)
        self._settling.add(_process(upstream), suspect, now)
        self._settle(now)

    def record_ended(self, context, upstream, now):
        """Record an answer of unknown length, which ended with its connection.

        It is whole unless its upstream has crashed.
        """
        self._loss(upstream, now).ended.append(_suspect(context, upstream, True))

    def record_loss(self, context, upstream, now):
        """Record that the connection broke before the end of an answer."""
        loss = self._loss(upstream, now)
        if len(loss.suspects) < MAX_SUSPECTS:
            is_served = context.response_latency is not None
            loss.suspects.append(_suspect(context, upstream, is_served))

    def advance(self, now):
        """Repeat to all gateways what is in quarantine, if they are linked to this."""
        self._settle(now)
        if not self._turns.is_due(now):
            return
        entries = self._quarantine.entries(now)
        if entries and self._peers.is_repeater(now):
            self._post(self._turns.next_page(entries), now)

    # Messages of other gateways.

    def handle_crash(self, message, now):
        """Add another gateway's suspects to the evidence."""
        at = now - message.seconds_ago
        self._record_crash(message.upstream, at, message.suspects, now)
        suspects = self._settling.take(message.upstream, at)
        if suspects:
            self._post_crash(message.upstream, at, suspects, now)

    def handle_quarantine(self, message, link, now):
        """Apply another gateway's quarantines, or object to them."""
        self._settle(now)
        for item in message.items:
            entry = _entry(item, now)
            feature = entry.attribution.feature
            if self._attribution.is_disproved(entry.attribution):
                answered_at = self._attribution.answered_at(feature)
                age = _age(answered_at, now)
                link.post(AnsweredNotice(feature, age, is_whole=True))
            else:
                self._adopt(entry, now)

    def handle_answered(self, message, now):
        """Record an answer that another gateway knows of.

        Gateways of earlier versions tell of answers that had only begun.
        """
        if not message.is_whole:
            return
        answered_at = now - message.seconds_ago
        self._attribution.record_answered((message.feature,), answered_at)
        if self._lift_if_disproved(message.feature, now) and self._peers.is_candidate:
            self._post_answered(message.feature, now)

    # The store's copies of quarantines.

    def entries(self, now):
        """Return all quarantines and probations."""
        return self._quarantine.entries(now)

    def adopt(self, entry, now):
        """Apply a quarantine of earlier processes, unless it has been forgotten."""
        if not self._attribution.is_disproved(entry.attribution):
            self._adopt(entry, now)

    def lift(self, feature, now):
        """End a quarantine by order of an operator."""
        if self._quarantine.lift(feature) is not None:
            log.info("quarantine_deleted", feature=feature)

    def _adopt(self, entry, now):
        if self._quarantine.adopt(entry):
            self._log_entry(entry, now)
            self._interrupt(now)

    def dump(self, now):
        """Return what is in quarantine, for operators."""
        return {
            entry.attribution.feature: {
                "crashes": entry.attribution.crashes,
                "seconds_left": round(entry.ends_at - now, 1),
                "seconds": entry.seconds,
            }
            for entry in self._quarantine.entries(now)
        }

    def _block_everywhere(self, context, now):
        """Return the feature for which a request may run at none of its services."""
        services = [target.service for target in context.route.targets]
        blocks = [self._block(context, service, now) for service in services]
        return None if None in blocks else next(iter(blocks), None)

    def _block(self, context, service, now):
        if not self._quarantine:
            return None
        features = all_features(service, context)
        return self._quarantine.blocking_feature(features, now, context.details.id)

    def _refusal(self, context, feature, now):
        retry_after = self._quarantine.seconds_left(feature, now)
        self._meter.count("wharf_quarantine_refusals")
        detail = "such requests crash upstreams"
        if context.may_have_run:
            code = Code.REQUEST_CONDEMNED
            return GatewayResponse(502, code, detail, feature=feature)
        return GatewayResponse.not_run(
            Code.REQUEST_CONDEMNED, detail, retry_after, feature
        )

    async def _report(self, name, upstream):
        """Tell all gateways of a crash once the upstream is known to be gone."""
        await asyncio.sleep(GATHER_SECONDS)
        loss = self._loss_by_upstream.pop(name)
        is_gone = await self._pool.is_refused(upstream.address)
        now = self._clock()
        if not is_gone:
            for suspect in loss.ended:
                self._count_answer(suspect, loss.at, now)
            return
        answered = self._settling.take(name, loss.at)
        suspects = (*loss.suspects, *loss.ended, *answered)[:MAX_SUSPECTS]
        log.info(
            "upstream_crashed",
            upstream=upstream.id,
            suspects=len(suspects),
            began=sum(suspect.began for suspect in suspects),
            served=sum(suspect.served for suspect in suspects),
        )
        self._post_crash(name, loss.at, suspects, now)

    def _post_crash(self, name, at, suspects, now):
        """Tell all gateways, and this one, of requests that a crashed upstream had."""
        self._peers.post_all(CrashNotice(name, _age(at, now), tuple(suspects)))
        self._record_crash(name, at, suspects, now)

    def _record_crash(self, name, at, suspects, now):
        if not suspects:
            return
        self._attribution.add_suspects(name, at, suspects, now)
        if name not in self._concluding:
            self._concluding.add(name)
            self._start(self._conclude(name, at))
        features = {f for s in suspects for f in (*s.features, s.fingerprint)}
        self._begin(self._quarantine.record_crash(features, at, now), now)

    async def _conclude(self, name, at):
        """Draw the conclusions from a crash once all gateways have reported it."""
        await asyncio.sleep(REPORT_SECONDS)
        self._concluding.discard(name)
        now = self._clock()
        self._settle(now)
        found = self._attribution.attributions(name, at)
        entries = [self._quarantine.begin(attribution, now) for attribution in found]
        self._begin([entry for entry in entries if entry is not None], now)

    def _begin(self, entries, now):
        """Tell all gateways of quarantines that have just begun here."""
        for entry in entries:
            self._log_entry(entry, now)
        if entries:
            self._post(entries, now)
            self._interrupt(now)

    def _loss(self, upstream, now):
        """Return what one process has lost just now; it is reported soon."""
        name = _process(upstream)
        if name not in self._loss_by_upstream:
            self._loss_by_upstream[name] = _Loss(now)
            self._start(self._report(name, upstream))
        return self._loss_by_upstream[name]

    def _start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _settle(self, now):
        """Count the answers that their upstreams have survived."""
        for at, suspect in self._settling.settled(now):
            self._count_answer(suspect, at, now)

    def _count_answer(self, suspect, at, now):
        features = suspect.features
        self._attribution.record_answered(features, at, suspect.fingerprint)
        for feature in (*features, suspect.fingerprint):
            if self._lift_if_disproved(feature, now):
                self._post_answered(feature, now)

    def _lift_if_disproved(self, feature, now):
        entry = self._quarantine.entry(feature)
        if entry is None or not self._attribution.is_disproved(entry.attribution):
            return False
        self._quarantine.lift(feature)
        seconds = now - self._attribution.answered_at(feature)
        log.info(
            "quarantine_lifted", feature=feature, answered_seconds_ago=round(seconds, 3)
        )
        return True

    def _post_answered(self, feature, now):
        seconds_ago = _age(self._attribution.answered_at(feature), now)
        self._peers.post_all(AnsweredNotice(feature, seconds_ago, is_whole=True))

    def _interrupt(self, now):
        for context, scope in list(self._scope_by_context.items()):
            if self._block_everywhere(context, now) is not None:
                scope.reschedule(now)

    def _post(self, entries, now):
        self._peers.post_all(QuarantineNotice(tuple(_item(e, now) for e in entries)))

    def _log_entry(self, entry, now):
        log.info(
            "quarantine",
            feature=entry.attribution.feature,
            crashes=entry.attribution.crashes,
            first_seconds_ago=round(now - entry.attribution.first_at, 3),
            seconds_left=round(entry.ends_at - now, 1),
        )


def _process(upstream):
    """Return the name of an upstream's process."""
    return f"{upstream.id}/{upstream.started_ms}"


def _suspect(context, upstream, is_served):
    *features, fingerprint = all_features(upstream.service, context)
    began = context.response_began
    return CrashSuspect(fingerprint, tuple(features), began, is_served)


def _age(at, now):
    """Return the seconds since `at`, within what messages can say."""
    return min(max(0.0, now - at), MAX_AGE_SECONDS)


def _item(entry, now):
    attribution = entry.attribution
    return QuarantineItem(
        attribution.feature,
        attribution.crashes,
        _age(attribution.first_at, now),
        max(entry.ends_at - now, -MAX_AGE_SECONDS),
        entry.seconds,
    )


def _entry(item, now):
    attribution = Attribution(item.feature, item.crashes, now - item.first_seconds_ago)
    return QuarantineEntry(attribution, now + item.seconds_left, item.seconds)
