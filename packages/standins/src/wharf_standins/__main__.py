"""The command line of the stand-ins."""

import sys

import defopt

from wharf_standins.claims_bench import claims_bench
from wharf_standins.demo import demo
from wharf_standins.serve import engine, platform

__all__ = []

if __name__ == "__main__":
    sys.exit(defopt.run([claims_bench, demo, engine, platform], no_negated_flags=True))
