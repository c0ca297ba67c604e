"""Measurement of the marginal cost of each unit of load, for docs/CAPACITY.md."""
