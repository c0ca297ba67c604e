"""Features whose requests are not sent to upstreams for some time."""

from dataclasses import dataclass, field

from wharf_coordination.quarantine.attribution import Attribution
from wharf_coordination.quarantine.quarantine_entry import QuarantineEntry
from wharf_coordination.rendezvous import fraction

__all__ = ["LONGEST_SECONDS", "Quarantine"]

FIRST_SECONDS = 30.0
LONGEST_SECONDS = 600.0
PROBATION_SECONDS = 600.0  # after which a feature that crashed nothing is forgotten
MAX_ENTRIES = 1000
CLOCK_SLACK_SECONDS = 0.5  # delay of a notice, by which copies of an entry differ


@dataclass(slots=True)
class Quarantine:
    """Decide which features' requests may run, on one of several hosts.

    A quarantine ends later on some hosts than on others, by up to its own length and
    depending on `host`, so that the hosts don't all try such a request at once. On
    probation, each host lets one such request run at a time; a further crash begins a
    quarantine of twice the length, an answer ends the matter (`lift`). Entries may be
    copied between hosts in any order and repeatedly.

    >>> quarantine = Quarantine("host-1")
    >>> entry = quarantine.begin(Attribution("x", 2, 1.0), now=5.0)
    >>> quarantine.blocking_feature(("a", "x"), now=6.0)
    'x'
    >>> quarantine.blocking_feature(("a", "x"), now=65.0) is None
    True
    """

    host: str
    max_entries: int = MAX_ENTRIES
    _entry_by_feature: dict[str, QuarantineEntry] = field(default_factory=dict)
    _holder_by_feature: dict[str, str] = field(default_factory=dict)
    _lifted_end_by_feature: dict[str, float] = field(default_factory=dict)

    def begin(self, attribution, now) -> QuarantineEntry | None:
        """Quarantine a feature; return the entry, or None if it already is."""
        known = self._entry_by_feature.get(attribution.feature)
        if known is not None and now < known.ends_at:
            return None
        seconds = FIRST_SECONDS
        if known is not None:
            seconds = min(2 * known.seconds, LONGEST_SECONDS)
        entry = QuarantineEntry(attribution, now + seconds, seconds)
        self._put(entry)
        return entry

    def record_crash(self, features, at, now) -> list[QuarantineEntry]:
        """Quarantine the features on probation among those of a crash's suspects."""
        attributions = [
            Attribution(feature, entry.attribution.crashes + 1, at)
            for feature in features
            if (entry := self._entry_by_feature.get(feature)) is not None
            and at >= entry.ends_at
        ]
        entries = [self.begin(attribution, now) for attribution in attributions]
        return [entry for entry in entries if entry is not None]

    def adopt(self, entry) -> bool:
        """Apply another host's entry; return whether it differs from the known one.

        A late copy of an entry that was lifted here is not applied.
        """
        feature = entry.attribution.feature
        known = self._entry_by_feature.get(feature)
        known_end = known.ends_at if known else self._lifted_end_by_feature.get(feature)
        if known_end is not None and entry.ends_at <= known_end + CLOCK_SLACK_SECONDS:
            return False
        self._put(entry)
        return True

    def lift(self, feature) -> QuarantineEntry | None:
        """End a quarantine or a probation; return its entry, or None."""
        self._holder_by_feature.pop(feature, None)
        entry = self._entry_by_feature.pop(feature, None)
        if entry is not None:
            self._lifted_end_by_feature[feature] = entry.ends_at
            if len(self._lifted_end_by_feature) > self.max_entries:
                oldest = next(iter(self._lifted_end_by_feature))
                del self._lifted_end_by_feature[oldest]
        return entry

    def blocking_feature(self, features, now, holder=None) -> str | None:
        """Return the first feature for which a request may not run now, or None.

        `holder` names the request, which may be the one that runs on probation.
        """
        return next((f for f in features if self._is_blocked(f, now, holder)), None)

    def seconds_left(self, feature, now):
        """Return the seconds until requests with `feature` may run on this host."""
        entry = self._entry_by_feature.get(feature)
        return 0.0 if entry is None else max(0.0, self._end(entry) - now)

    def begin_probation_run(self, features, holder):
        """Record that a request with features on probation begins to run."""
        for feature in features:
            if feature in self._entry_by_feature:
                self._holder_by_feature[feature] = holder

    def end_probation_run(self, features, holder):
        """Record the end of the request's run, whatever its outcome."""
        for feature in features:
            if self._holder_by_feature.get(feature) == holder:
                del self._holder_by_feature[feature]

    def entry(self, feature) -> QuarantineEntry | None:
        """Return the entry of a feature in quarantine or on probation, or None."""
        return self._entry_by_feature.get(feature)

    def entries(self, now) -> list[QuarantineEntry]:
        """Return all entries, in quarantine or on probation."""
        for feature, entry in list(self._entry_by_feature.items()):
            # At the same time on all hosts, however long the quarantine is there.
            if now >= entry.ends_at + entry.seconds + PROBATION_SECONDS:
                self.lift(feature)
        return list(self._entry_by_feature.values())

    def __len__(self):
        return len(self._entry_by_feature)

    def _put(self, entry):
        feature = entry.attribution.feature
        self._entry_by_feature.pop(feature, None)
        self._lifted_end_by_feature.pop(feature, None)
        self._entry_by_feature[feature] = entry
        if len(self._entry_by_feature) > self.max_entries:
            self.lift(next(iter(self._entry_by_feature)))

    def _end(self, entry):
        """Return the end of a quarantine on this host."""
        part = fraction(entry.attribution.feature, self.host)
        return entry.ends_at + part * entry.seconds

    def _is_blocked(self, feature, now, holder):
        entry = self._entry_by_feature.get(feature)
        if entry is None:
            return False
        if now < self._end(entry):
            return True
        return self._holder_by_feature.get(feature, holder) != holder
