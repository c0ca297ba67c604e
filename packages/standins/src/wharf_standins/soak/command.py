"""The command that runs the soak."""

import asyncio
from pathlib import Path

from wharf_standins.seed_range import seed_range
from wharf_standins.soak.run import SoakRun

__all__ = ["soak"]

EXIT_BROKEN = 1


def soak(*, seeds: str = "1-5", seconds: float = 6.0, keep: Path | None = None):
    """Play faults against real gateways on loopback and check what comes of it.

    :param seeds: one seed, or the first and the last with a dash
    :param seconds: time in which faults begin
    :param keep: folder for the gateways' logs of seeds that break a promise
    """
    broken = 0
    for seed in seed_range(seeds):
        folder = None
        if keep is not None:
            folder = keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        run = SoakRun(seed, seconds)
        findings = asyncio.run(run.play(folder))
        faults = "; ".join(map(str, run.faults))
        print(f"seed {seed}: {len(findings)} findings ({faults})", flush=True)
        for finding in findings[:10]:
            print(f"  {finding}", flush=True)
        broken += bool(findings)
    return EXIT_BROKEN if broken else 0
