"""Command that rolls out versions with the real daemons."""

import asyncio
import logging

import structlog

from wharf_standins.rollout_trial.daemon_trial import DaemonTrial
from wharf_standins.rollout_trial.version_kind import KINDS

__all__ = ["trial_daemons"]

OUTAGE_OVER_DEADLINE = (0.4, 1.2)


def trial_daemons(*, duration: float = 30.0, rate: float = 200.0, seed: int = 1):
    """Roll out one version of each kind with real daemons on loopback.

    :param duration: deadline of each rollout in seconds
    :param rate: calls per second
    :param seed: seed of the callers
    """
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    right = [_run(name, duration, rate, seed, None) for name in KINDS]
    right.append(_run("good", duration, rate, seed, OUTAGE_OVER_DEADLINE))
    return 0 if all(right) else 1


def _run(name, duration, rate, seed, store_down):
    trial = DaemonTrial(KINDS[name], seed, duration, rate, store_down)
    result = asyncio.run(trial.run())
    expected = "finished" if name == "good" and not store_down else "taken back"
    store = "down over the deadline" if store_down else "up"
    print(
        f"{name}, store {store}: {result.outcome} at {result.ended_at:.1f} s, "
        f"share before the veto {result.share_before_veto:.3f}, "
        f"{result.new_calls_late} late calls, reason {result.reason!r}",
        flush=True,
    )
    return result.outcome == expected and result.new_calls_late == 0
