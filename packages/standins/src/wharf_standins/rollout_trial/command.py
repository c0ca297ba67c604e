"""The command that runs the trials and prints a table."""

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
    """Roll out versions of each kind in injected time, with and without a store.

    :param trials: seeded trials of each kind
    :param duration: deadline of each rollout in seconds
    :param rate: calls a second
    """
    is_met = [
        _report(outage, name, trials, duration, rate)
        for outage in (None, OUTAGE_OVER_DEADLINE)
        for name in KINDS
    ]
    return 0 if all(is_met) else 1


def _report(outage, name, trials, duration, rate):
    if name == next(iter(KINDS)):
        print(f"store {'down over the deadline' if outage else 'up'}")
        print(ROW.format(*HEADINGS))
    results = [
        Trial(KINDS[name], seed, name, duration, rate, store_down=outage).run()
        for seed in range(1, trials + 1)
    ]
    print(ROW.format(name, *_figures(results, duration)))
    return _is_met(name, results, outage)


def _figures(results, duration):
    outcomes = [result.outcome for result in results]
    finished, taken_back = outcomes.count("finished"), outcomes.count("taken back")
    shares = [result.share_before_veto for result in results if result.vetoed_at]
    delays = [
        result.vetoed_at - result.shown_at
        for result in results
        if result.vetoed_at and result.shown_at
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


def _is_met(name, results, outage):
    needed = len(results) * 19 / 20
    expected = "finished" if name == "good" and not outage else "taken back"
    right = sum(result.outcome == expected for result in results)
    ended = all(result.outcome != "running" for result in results)
    late = any(result.new_calls_late for result in results)
    shares = [result.share_before_veto for result in results if result.vetoed_at]
    too_much = max(shares, default=0.0) > MAX_SHARE
    return right >= needed and ended and not late and not too_much
