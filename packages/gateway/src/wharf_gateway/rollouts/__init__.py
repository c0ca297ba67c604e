"""Gradual rollouts of new versions of services."""
