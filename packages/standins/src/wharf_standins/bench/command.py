"""Command that runs the benchmark."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from wharf_standins.bench.report import print_report
from wharf_standins.bench.run import run
from wharf_standins.bench.scenario import SCENARIO_BY_NAME
from wharf_standins.bench.shape import SHAPE_BY_NAME
from wharf_standins.bench.variant import Variant

__all__ = ["bench"]


def bench(
    *scenarios: str,
    shape: str = "exchange",
    seconds: float = 12.0,
    seed: int = 1,
    variants: str = ",".join(Variant),
):
    """Compare the routing policy with baselines under seeded load and faults.

    :param scenarios: names of scenarios; all when none is given
    :param shape: size of the system: exchange or cooperative
    :param seconds: length of the arrivals of each scenario
    :param seed: seed of arrivals, faults and choices
    :param variants: policies to run side by side, separated by commas
    """
    chosen = [Variant(name) for name in variants.split(",")]
    size = SHAPE_BY_NAME[shape]
    context = get_context("spawn")
    with ProcessPoolExecutor(len(chosen), mp_context=context) as workers:
        for name in scenarios or SCENARIO_BY_NAME:
            scenario = SCENARIO_BY_NAME[name]
            futures = [
                workers.submit(run, size, scenario, variant, seconds, seed)
                for variant in chosen
            ]
            print_report(size, scenario, [future.result() for future in futures])
    return 0
