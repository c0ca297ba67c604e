"""The command that plays claims over a store that comes back from a copy."""

import asyncio
from collections import Counter

from wharf_standins.claims_trial.claims_trial import ClaimsTrial
from wharf_standins.seed_range import seed_range
from wharf_standins.virtual_time import VirtualTimeLoop

__all__ = ["claims_trial"]

EXIT_FINDINGS = 1


def claims_trial(*, seeds: str = "1-200"):
    """Play claims under faults and restorations of the store, in virtual time.

    :param seeds: one seed, or the first and the last with a dash
    """
    failed_seeds, counts = 0, Counter()
    for seed in seed_range(seeds):
        trial = ClaimsTrial(seed)
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(trial.run())
        for finding in trial.findings:
            print(f"seed {seed}: {finding}", flush=True)
        failed_seeds += bool(trial.findings)
        counts += trial.counts
    print(f"{failed_seeds} seeds with findings; {dict(sorted(counts.items()))}")
    return EXIT_FINDINGS if failed_seeds else 0
