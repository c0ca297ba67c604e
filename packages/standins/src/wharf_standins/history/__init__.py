"""Recorded runs of the daemons under faults, and a checker for each guarantee."""

from wharf_standins.history.checks import CHECKS, check_history
from wharf_standins.history.history import History
from wharf_standins.history.history_run import HistoryRun
from wharf_standins.history.violation import Violation

__all__ = ["CHECKS", "History", "HistoryRun", "Violation", "check_history"]
