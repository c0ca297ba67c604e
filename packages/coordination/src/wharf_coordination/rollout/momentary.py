"""Tells a slow version from a moment at which calls were slow."""

from collections import defaultdict

from wharf_coordination.rollout.statistics import Times, slowness_p_value

__all__ = ["is_momentary", "seconds_of"]

# Calls that were in flight during a pause of the machine end right after it, and those
# that queued up meanwhile within the next second.
MOMENT_SECONDS = 1.0
# Calls of both versions that end within this long of each other met the same pauses.
SLOT_SECONDS = 0.1


def is_momentary(pairs, tolerance, level):
    """Return whether a single moment explains that the new version was slower.

    `pairs` holds lists of the old and the new version's samples that are compared.
    When calls share a pause, they are one observation, however many they are. The new
    version is therefore slower only if it is so without the calls of any one moment,
    or also beside the old version's calls that ended at the same time. `level` is the
    p-value below which it is.
    """
    ends = sorted({sample.ended_at for _, new in pairs for sample in new})
    next_begin = float("-inf")
    for begin in ends:
        if begin < next_begin:
            continue
        # Moments that begin less than half their length apart differ by little.
        next_begin = begin + MOMENT_SECONDS / 2
        end = begin + MOMENT_SECONDS
        rest = [(old, _outside(new, begin, end)) for old, new in pairs]
        if slowness_p_value(seconds_of(rest, tolerance)) < level:
            continue
        slots = _slots(pairs, begin, end)
        if slowness_p_value(seconds_of(slots, tolerance)) >= level:
            return True
    return False


def seconds_of(pairs, tolerance):
    """Return the times of both versions' calls, the new ones over tolerance.

    Calls to cold upstreams are left out, as their time says nothing of the version. A
    failed call would have taken at least as long as it did: a slow version's calls end
    at their deadlines.

    >>> seconds_of([([], [])], 1.5)
    [(Times(seconds=[], bounds=[]), Times(seconds=[], bounds=[]))]
    """
    return [(_times(old, 1.0), _times(new, tolerance)) for old, new in pairs]


def _times(samples, divisor):
    warm = [sample for sample in samples if not sample.is_cold]
    return Times(
        [sample.elapsed / divisor for sample in warm if not sample.failed],
        [sample.elapsed / divisor for sample in warm if sample.failed],
    )


def _outside(samples, begin, end):
    return [sample for sample in samples if not begin <= sample.ended_at < end]


def _slots(pairs, begin, end):
    """Return the pairs divided by the time at which calls ended."""
    by_slot = defaultdict(lambda: ([], []))
    for number, pair in enumerate(pairs):
        for version, samples in enumerate(pair):
            for sample in samples:
                if begin <= sample.ended_at < end:
                    slot = int((sample.ended_at - begin) / SLOT_SECONDS)
                    by_slot[number, slot][version].append(sample)
    return list(by_slot.values())
