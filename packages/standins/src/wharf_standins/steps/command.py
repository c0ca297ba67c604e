"""The command that runs step load trials."""

import logging

import structlog

from wharf_standins.steps.pattern import PATTERNS
from wharf_standins.steps.trial import run_trial

__all__ = ["step_trial"]


def step_trial(*patterns: str, seeds: int = 3, policy: str = "by_deadline"):
    """Run load patterns through the preparation of requests, in virtual time.

    :param patterns: names of patterns, all by default
    :param policy: preparation policy, by_deadline or by_loss
    :param seeds: number of seeds to run each pattern with, from 1
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for name in patterns or PATTERNS:
        if name not in PATTERNS:
            print(f"unknown pattern {name!r}; known are {', '.join(PATTERNS)}")
            return 2
        for seed in range(1, seeds + 1):
            _show(name, seed, run_trial(PATTERNS[name], seed, policy))
    return 0


def _show(name, seed, outcome):
    print(
        f"{name} seed {seed}: worth {outcome.worth:.3f},"
        f" late refusals {outcome.late_refusal_worth:.3f},"
        f" out of space {outcome.out_of_space}, full {outcome.full},"
        f" unused {outcome.unused},"
        f" {outcome.cross_centre_bytes / 1e9:.3f} GB between data centres"
    )
    for label, part in outcome.by_class.items():
        print(
            f"  {label:10} requests {part.requests:4} on time {part.on_time:4}"
            f" late {part.late:3} refused {part.refused:3} failed {part.failed:3}"
            f" after {part.refusal_seconds / max(1, part.refused):.2f} s,"
            f" prepared in {part.quantile(0.5):.2f} s,"
            f" 90% in {part.quantile(0.9):.2f} s"
        )
    for service, calls in outcome.calls.items():
        print(
            f"  {service:10} calls {calls} with {outcome.pieces[service] / calls:.1f}"
            f" pieces, busy {outcome.busy[service]:.0f} s"
        )
