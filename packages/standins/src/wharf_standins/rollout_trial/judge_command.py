"""Command that counts wrong verdicts on rollouts in disturbed environments."""

import json
from collections import Counter
from pathlib import Path
from statistics import median

from wharf_standins.rollout_trial.environment import ENVIRONMENTS
from wharf_standins.rollout_trial.trial import Trial
from wharf_standins.rollout_trial.version_kind import KINDS

__all__ = ["trial_judge"]

ROW = "{:<16}{:<16}{:>8}{:>10}{:>12}{:>12}{:>12}"
HEADINGS = ("environment", "kind", "trials", "wrong", "median", "slowest", "exposure")


def trial_judge(
    *,
    trials: int = 100,
    duration: float = 36.0,
    rate: float = 90.0,
    first_seed: int = 1,
    kinds: list[str] | None = None,
    environments: list[str] | None = None,
    report: Path | None = None,
):
    """Count good versions that are taken back and bad ones that are finished.

    :param trials: seeded rollouts of each kind in each environment
    :param duration: deadline of each rollout in seconds
    :param rate: calls per second
    :param first_seed: seed of the first rollout; the others follow
    :param kinds: kinds of versions, all by default
    :param environments: names of environments, all by default
    :param report: JSON file for the figures
    """
    print(ROW.format(*HEADINGS))
    seeds = range(first_seed, first_seed + trials)
    rows = [
        _row(environment, kind, seeds, duration, rate)
        for environment in environments or ENVIRONMENTS
        for kind in kinds or KINDS
    ]
    if report:
        report.write_text(json.dumps(rows, indent=1))
    return 1 if any(row["wrong"] for row in rows) else 0


def _row(environment, kind, seeds, duration, rate):
    results = [
        Trial(
            KINDS[kind],
            seed,
            kind,
            duration,
            rate,
            environment=ENVIRONMENTS[environment],
        ).run()
        for seed in seeds
    ]
    expected = "finished" if kind == "good" else "taken back"
    wrong = [result for result in results if result.outcome != expected]
    delays = [
        (result.vetoed_at or result.ended_at) - (result.first_bad_call_at or 0.0)
        for result in results
    ]
    exposures = [result.new_calls_before_veto for result in results]
    row = {
        "environment": environment,
        "kind": kind,
        "trials": len(results),
        "wrong": len(wrong),
        "median_seconds": round(median(delays), 2),
        "slowest_seconds": round(max(delays), 2),
        "median_exposure": median(exposures),
        "reasons": Counter(result.reason.partition(":")[0] for result in wrong),
        "seeds": [result.seed for result in wrong][:10],
    }
    print(ROW.format(*list(row.values())[:7]), dict(row["reasons"]), flush=True)
    return row
