"""Logs and metrics of a gateway."""
