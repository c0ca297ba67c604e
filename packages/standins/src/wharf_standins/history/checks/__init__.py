"""One checker for each guarantee, which returns its violations in a history."""

from wharf_standins.history.checks.at_most_once import check_at_most_once
from wharf_standins.history.checks.bad_version import check_bad_version
from wharf_standins.history.checks.cold_start import check_cold_start
from wharf_standins.history.checks.configuration import check_configuration
from wharf_standins.history.checks.data_centre_out import check_data_centre_out
from wharf_standins.history.checks.leaving_upstream import check_leaving_upstream
from wharf_standins.history.checks.not_run import check_not_run
from wharf_standins.history.checks.planned_stop import check_planned_stop
from wharf_standins.history.checks.stage_results import check_stage_results
from wharf_standins.history.checks.whole_answers import check_whole_answers

__all__ = ["CHECKS", "check_history"]

CHECKS = (
    check_stage_results,
    check_cold_start,
    check_data_centre_out,
    check_bad_version,
    check_whole_answers,
    check_not_run,
    check_at_most_once,
    check_leaving_upstream,
    check_planned_stop,
    check_configuration,
)


def check_history(history):
    """Return all violations of the ten guarantees."""
    return [violation for check in CHECKS for violation in check(history)]
