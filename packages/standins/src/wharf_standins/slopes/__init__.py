"""Measurement of what each unit of load costs, for docs/CAPACITY.md."""
