"""Logs of the measuring processes, which print results on standard output."""

import logging

import structlog

__all__ = ["log_only_warnings"]


def log_only_warnings():
    """Suppress log lines below the level of warnings."""
    only_warnings = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=only_warnings)
