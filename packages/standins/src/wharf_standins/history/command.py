"""The command that makes histories and checks them."""

import asyncio
import logging

import structlog

from wharf_standins.history.checks import check_history
from wharf_standins.history.history_run import HistoryRun
from wharf_standins.seed_range import seed_range

__all__ = ["histories"]

SHOWN_VIOLATIONS = 5


def histories(*, seeds: str = "1-20", requests: int = 500):
    """Run seeded histories under faults and check the ten promises.

    :param seeds: first and last seed, as FIRST-LAST
    :param requests: requests of each history
    """
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    logging.disable(logging.CRITICAL)
    numbers = seed_range(seeds)
    failed = [seed for seed in numbers if not _is_kept(seed, requests)]
    print(f"{len(numbers) - len(failed)} of {len(numbers)} histories keep all promises")
    if failed:
        print(f"failing seeds: {failed}")
    return 1 if failed else 0


def _is_kept(seed, requests):
    run = HistoryRun(seed, requests)
    history = asyncio.run(run.run())
    violations = check_history(history)
    answers = sum(got.is_answer for got in history.got)
    faults = "+".join(run.faults)
    counts = f"{len(history.sent)} sent, {answers} answered, {len(history.runs)} runs"
    print(f"seed {seed} {faults}: {counts}, {len(violations)} violations", flush=True)
    for violation in violations[:SHOWN_VIOLATIONS]:
        print(f"  {violation}")
    return not violations
