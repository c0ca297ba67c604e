"""Command that searches for requests that end without an answer."""

import logging
import time

import structlog

from wharf_standins.promise.play import Play
from wharf_standins.seed_range import seed_range

__all__ = ["search_promise"]


def search_promise(*, seeds: str = "1-100"):
    """Play seeds in virtual time, and print each broken promise.

    :param seeds: the numbers of the plays, FIRST-LAST or one number
    """
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    began, broken, requests = time.monotonic(), 0, 0
    numbers = seed_range(seeds)
    for seed in numbers:
        play = Play(seed)
        findings = play.run()
        broken += bool(findings)
        requests += play.request_count
        for finding in findings:
            print(f"seed {seed}: {finding.fault} {finding.detail}")
    seconds = time.monotonic() - began
    print(f"{broken} of {len(numbers)} seeds, {requests} requests, {seconds:.0f} s")
    return 1 if broken else 0
