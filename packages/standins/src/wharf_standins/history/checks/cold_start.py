"""An upstream in cold start gets no more work than it can bear."""

from collections import defaultdict

from wharf_standins.history.violation import Violation

__all__ = ["check_cold_start"]

PROMISE = "cold start"
# Nobody tells a sidecar that its upstream was started anew: it sees it by the
# first answer.
NOTICE_SECONDS = 0.5


def check_cold_start(history, notice=NOTICE_SECONDS):
    """Return runs that came to a cold upstream beyond what it bears."""
    runs_by_life = defaultdict(list)
    for run in history.runs:
        runs_by_life[run.upstream, run.incarnation].append(run)
    return [
        Violation(PROMISE, f"{run.upstream} ran {run.running} while cold")
        for (upstream, incarnation), runs in runs_by_life.items()
        for run in runs
        if run.running > history.bearable_by_upstream.get(upstream, run.running)
        and _completed_before(runs, run.begin) < history.warm_after
        and (incarnation == 1 or run.begin > runs[0].begin + notice)
    ]


def _completed_before(runs, at):
    return sum(run.completed and run.end <= at for run in runs)
