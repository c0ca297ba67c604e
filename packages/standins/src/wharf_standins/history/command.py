"""Command that records runs under faults and checks the guarantees."""

import asyncio
import logging

import structlog

from wharf_standins.history.checks import check_history
from wharf_standins.history.history_run import HistoryRun
from wharf_standins.seed_range import seed_range

__all__ = ["histories"]

MAX_SHOWN_VIOLATIONS = 5


def histories(*, seeds: str = "1-20", requests: int = 500):
    """Run seeded histories under faults and check the ten guarantees.

    :param seeds: first and last seed, as FIRST-LAST
    :param requests: requests in each run
    """
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    logging.disable(logging.CRITICAL)
    numbers = seed_range(seeds)
    failed = [seed for seed in numbers if not _is_satisfied(seed, requests)]
    print(
        f"{len(numbers) - len(failed)} of {len(numbers)} histories "
        "satisfy all guarantees"
    )
    if failed:
        print(f"failing seeds: {failed}")
    return 1 if failed else 0


def _is_satisfied(seed, requests):
    run = HistoryRun(seed, requests)
    history = asyncio.run(run.run())
    violations = check_history(history)
    answers = sum(outcome.is_answer for outcome in history.call_outcomes)
    faults = "+".join(run.faults)
    counts = (
        f"{len(history.sent_requests)} sent, {answers} answered, "
        f"{len(history.runs)} runs"
    )
    print(f"seed {seed} {faults}: {counts}, {len(violations)} violations", flush=True)
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        print(f"  {violation}")
    return not violations
