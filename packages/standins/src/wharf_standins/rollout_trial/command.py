"""Command that simulates rollouts and prints a table of their outcomes."""

from wharf_standins.rollout_trial.trial import Trial
from wharf_standins.rollout_trial.version_kind import KINDS

__all__ = ["trial_rollouts"]

OUTAGE_OVER_DEADLINE = (0.4, 1.3)
MAX_SHARE = 0.05
ROW = "{:<16}{:>9}{:>12}{:>8}{:>13}{:>11}{:>11}{:>9}"
HEADINGS = (
    "kind",
    "finished",
    "taken-back",
    "right",
    "share-before",
    "veto-after",
    "calls-late",
    "in-time",
)


def trial_rollouts(*, trials: int = 20, duration: float = 60.0, rate: float = 200.0):
    """Simulate rollouts of each kind of version, with the store up and down.

    :param trials: seeded trials of each kind
    :param duration: deadline of each rollout in seconds
    :param rate: calls per second
    """
    met = [
        _report(outage, name, trials, duration, rate)
        for outage in (None, OUTAGE_OVER_DEADLINE)
        for name in KINDS
    ]
    return 0 if all(met) else 1


def _report(outage, name, trials, duration, rate):
    if name == next(iter(KINDS)):
        print(f"store {'down over the deadline' if outage else 'up'}")
        print(ROW.format(*HEADINGS))
    results = [
        Trial(KINDS[name], seed, name, duration, rate, store_down=outage).run()
        for seed in range(1, trials + 1)
    ]
    print(ROW.format(name, *_figures(results, duration)))
    return _meets_expectations(name, results, outage)


def _figures(results, duration):
    outcomes = [result.outcome for result in results]
    finished, taken_back = outcomes.count("finished"), outcomes.count("taken back")
    shares = [result.share_before_veto for result in results if result.vetoed_at]
    delays = [
        result.vetoed_at - result.first_bad_call_at
        for result in results
        if result.vetoed_at and result.first_bad_call_at
    ]
    late = sum(result.new_calls_late for result in results)
    in_time = sum(result.ended_at <= duration for result in results)
    return (
        finished,
        taken_back,
        finished + taken_back,
        f"{max(shares, default=0.0):.3f}",
        f"{max(delays, default=0.0):.2f} s",
        late,
        in_time,
    )


def _meets_expectations(name, results, outage):
    min_right = len(results) * 19 / 20
    expected = "finished" if name == "good" and not outage else "taken back"
    right = sum(result.outcome == expected for result in results)
    ended = all(result.outcome != "running" for result in results)
    has_late_calls = any(result.new_calls_late for result in results)
    shares = [result.share_before_veto for result in results if result.vetoed_at]
    has_large_share = max(shares, default=0.0) > MAX_SHARE
    return right >= min_right and ended and not has_late_calls and not has_large_share
