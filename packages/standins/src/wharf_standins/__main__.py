"""The command line of the stand-ins."""

import sys

import defopt

from wharf_standins.demo import demo
from wharf_standins.overhead_bench import bench_overhead
from wharf_standins.serve import engine, platform

__all__ = []

if __name__ == "__main__":
    sys.exit(
        defopt.run([bench_overhead, demo, engine, platform], no_negated_flags=True)
    )
