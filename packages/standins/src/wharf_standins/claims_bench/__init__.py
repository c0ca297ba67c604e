"""Measurement of the store calls that claims cost; run by `make bench-claims`."""

from wharf_standins.claims_bench.command import claims_bench

__all__ = ["claims_bench"]
