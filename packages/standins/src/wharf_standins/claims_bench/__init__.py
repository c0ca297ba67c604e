"""Measurement of claims against calls of the store: `make bench-claims`."""

from wharf_standins.claims_bench.command import claims_bench

__all__ = ["claims_bench"]
