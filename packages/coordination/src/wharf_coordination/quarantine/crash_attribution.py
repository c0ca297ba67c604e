"""Attribution of crashes to features of the requests that were running."""

from dataclasses import dataclass, field

from wharf_coordination.quarantine.attribution import Attribution
from wharf_coordination.quarantine.crash import Crash

__all__ = ["FAMILIAR_CRASHES", "CrashAttribution"]

CONCLUSIVE_CRASHES = 2
# For a feature of requests that were answered before the first of the crashes, or of
# which parts of answers had come. Shared features are on most upstreams, so that they
# are present in most crashes.
FAMILIAR_CRASHES = 4
# Crashes of different upstreams within this time may have one cause outside them.
SIMULTANEOUS_SECONDS = 0.1
# Reports of one crash arrive within this time of each other.
REPORT_SECONDS = 3.0
EVIDENCE_SECONDS = 600.0
MAX_CRASHES = 256
MAX_FEATURES = 10_000


@dataclass(slots=True)
class _Evidence:
    """Times of the crashes of a feature, and the requests with it.

    `unserved_times` are those at which such a request had no part of its answer.
    """

    position: int
    times: list[float] = field(default_factory=list)
    unserved_times: list[float] = field(default_factory=list)
    fingerprints: set[str] = field(default_factory=set)

    def add(self, crash, suspect):
        """Add a crash at which a request with the feature was running."""
        self.times.append(crash.at)
        if not suspect.served:
            self.unserved_times.append(crash.at)
        self.fingerprints.add(suspect.fingerprint)

    @property
    def crashes(self):
        """Return the number of crashes that are apart in time."""
        return _count_apart(self.times)

    @property
    def unserved_crashes(self):
        """Return how many of the crashes left such a request without any answer."""
        return _count_apart(self.unserved_times)


@dataclass(slots=True)
class CrashAttribution:
    """Find the features whose requests crash every upstream that answers them.

    A feature is found once upstreams have crashed twice while requests with it, of at
    least two fingerprints, were the suspects, and none has been answered whole since
    the first; for a fingerprint its repeats suffice. A feature of requests that were
    answered before, or parts of whose answers had come at the crashes, takes four. A
    crash explained by one feature doesn't count against others. Features without any
    answer are found first; of equal ones, the one that the fewest requests had, then
    the most specific. At most `max_crashes` crashes, `max_features` answered features
    and as many answered fingerprints are kept, the newest ones.

    >>> from wharf_coordination.quarantine import CrashSuspect
    >>> attribution = CrashAttribution()
    >>> first, second = CrashSuspect("r1", ("a", "x")), CrashSuspect("r2", ("a", "x"))
    >>> attribution.record_crash("upstream-1", 1.0, [first], 1.0)
    []
    >>> attribution.record_crash("upstream-2", 5.0, [second], 5.0)
    [Attribution(feature='x', crashes=2, first_at=1.0)]
    """

    max_crashes: int = MAX_CRASHES
    max_features: int = MAX_FEATURES
    _crashes: list[Crash] = field(default_factory=list)
    _answered_at_by_feature: dict[str, float] = field(default_factory=dict)
    _answered_at_by_fingerprint: dict[str, float] = field(default_factory=dict)

    def record_crash(self, upstream, at, suspects, now) -> list[Attribution]:
        """Record requests that were running at a crash; return what is found by it.

        `upstream` names the crashed process. `at` and `now` are in seconds; `at` is an
        observer's estimate, which may differ from those of others.
        """
        self.add_suspects(upstream, at, suspects, now)
        return self.attributions(upstream, at)

    def add_suspects(self, upstream, at, suspects, now):
        """Record requests that were running at a crash, of which more may be told."""
        self._expire(now)
        self._crash(upstream, at).add(suspects)

    def attributions(self, upstream, at) -> list[Attribution]:
        """Return what is found of the requests that were running at a crash."""
        involved = {
            feature
            for suspect in self._crash(upstream, at).suspect_by_fingerprint.values()
            for feature in (*suspect.features, suspect.fingerprint)
        }
        return [found for found in self._attributions() if found.feature in involved]

    def record_answered(self, features, at, fingerprint=None):
        """Record that a request with `features` was answered whole at the time `at`."""
        self._record_answered(self._answered_at_by_feature, features, at)
        if fingerprint is not None:
            # Most fingerprints come once, and would displace the features.
            table = self._answered_at_by_fingerprint
            self._record_answered(table, (fingerprint,), at)

    def _record_answered(self, table, names, at):
        for name in names:
            table[name] = max(table.pop(name, at), at)
        while len(table) > self.max_features:
            del table[next(iter(table))]

    def answered_at(self, feature) -> float | None:
        """Return when a request with `feature` was last answered, None if never."""
        tables = (self._answered_at_by_feature, self._answered_at_by_fingerprint)
        times = [table[feature] for table in tables if feature in table]
        return max(times, default=None)

    def is_disproved(self, attribution) -> bool:
        """Return whether answers known here contradict an attribution of another.

        The other may not know of them. An answer since the first crash disproves it,
        an earlier one shows that more crashes are needed.
        """
        answered_at = self.answered_at(attribution.feature)
        if answered_at is None:
            return False
        is_answered_since = answered_at > attribution.first_at
        return is_answered_since or attribution.crashes < FAMILIAR_CRASHES

    def _attributions(self):
        found = {}
        while True:
            conclusive = [
                (self._rank(feature, evidence), feature, evidence)
                for feature, evidence in self._evidence(found).items()
                if feature not in found and self._is_conclusive(feature, evidence)
            ]
            if not conclusive:
                return list(found.values())
            _, feature, evidence = max(conclusive, key=lambda item: item[:2])
            first_at = min(evidence.times)
            found[feature] = Attribution(feature, evidence.crashes, first_at)

    def _rank(self, feature, evidence):
        """Return by what the likeliest of several conclusive features is chosen."""
        is_new = self.answered_at(feature) is None
        requests = len(evidence.fingerprints)
        return is_new, evidence.crashes, -requests, evidence.position

    def _is_conclusive(self, feature, evidence):
        is_fingerprint = feature in evidence.fingerprints
        if not is_fingerprint and len(evidence.fingerprints) < 2:
            return False
        is_familiar = self.answered_at(feature) is not None
        if not is_familiar and evidence.unserved_crashes >= CONCLUSIVE_CRASHES:
            return True
        return evidence.crashes >= FAMILIAR_CRASHES

    def _evidence(self, found):
        """Return the evidence by feature, without the crashes that `found` explains."""
        evidence_by_feature = {}
        for crash in self._crashes:
            for suspect in _unexplained(crash.prime_suspects, found):
                features = (*suspect.features, suspect.fingerprint)
                for position, feature in enumerate(features):
                    answered_at = self.answered_at(feature)
                    if answered_at is not None and answered_at >= crash.at:
                        continue
                    evidence = evidence_by_feature.setdefault(
                        feature, _Evidence(position)
                    )
                    evidence.add(crash, suspect)
        return evidence_by_feature

    def _crash(self, upstream, at):
        """Return the crash that an observer reports, a new one if it is the first."""
        for crash in reversed(self._crashes):
            if crash.upstream == upstream and abs(at - crash.at) <= REPORT_SECONDS:
                return crash
        crash = Crash(upstream, at)
        self._crashes = [*self._crashes, crash][-self.max_crashes :]
        return crash

    def _expire(self, now):
        self._crashes = [c for c in self._crashes if now - c.at <= EVIDENCE_SECONDS]


def _count_apart(times):
    """Return the number of times that are apart from each other."""
    count, last = 0, float("-inf")
    for at in sorted(times):
        if at - last >= SIMULTANEOUS_SECONDS:
            count, last = count + 1, at
    return count


def _unexplained(suspects, found):
    """Return the suspects of a crash that count as evidence beyond `found`.

    A found feature explains the crash. A found fingerprint explains it for the other
    requests only, since one of the request's own features may be behind it.
    """
    if any(feature in found for s in suspects for feature in s.features):
        return []
    return [s for s in suspects if s.fingerprint in found] or suspects
