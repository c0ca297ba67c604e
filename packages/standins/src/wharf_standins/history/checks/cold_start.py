"""An upstream in cold start gets no more concurrent calls than its cold limit."""

from collections import defaultdict

from wharf_standins.history.violation import Violation

__all__ = ["check_cold_start"]

GUARANTEE = "cold start"
# A sidecar learns of its upstream's restart only from the first response after it.
DETECTION_SECONDS = 0.5


def check_cold_start(history, detection=DETECTION_SECONDS):
    """Return runs that exceeded the cold limit of their upstream."""
    runs_by_incarnation = defaultdict(list)
    for run in history.runs:
        runs_by_incarnation[run.upstream, run.incarnation].append(run)
    return [
        Violation(GUARANTEE, f"{run.upstream} ran {run.running} while cold")
        for (upstream, incarnation), runs in runs_by_incarnation.items()
        for run in runs
        if run.running > history.cold_limit_by_upstream.get(upstream, run.running)
        and _completed_before(runs, run.begin) < history.warming_runs
        and (incarnation == 1 or run.begin > runs[0].begin + detection)
    ]


def _completed_before(runs, at):
    return sum(run.completed and run.end <= at for run in runs)
