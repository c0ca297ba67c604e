"""Moves of a service's traffic to a new version."""
