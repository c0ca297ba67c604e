"""Preparing steps of a request, run in batches."""
