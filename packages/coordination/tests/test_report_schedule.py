"""Load reports: heartbeats at constant load, immediate reports on changes."""

from dataclasses import dataclass, replace

import pytest

from wharf_coordination import ReportSchedule


@dataclass(frozen=True)
class Report:
    in_flight: int = 10
    limit: int = 64
    service_time: float = 0.1
    leaving: bool = False
    version: str = "1"
    revision: int = 7


@pytest.fixture
def schedule():
    schedule = ReportSchedule()
    schedule.reported(Report(), 0.0)
    return schedule


def test_first_load_is_due():
    assert ReportSchedule().is_due(Report(), 0.0)


def test_equal_load_waits_for_the_heartbeat(schedule):
    assert not schedule.is_due(Report(), 1.9)
    assert schedule.is_due(Report(), 2.0)


def test_small_changes_wait_for_the_heartbeat(schedule):
    assert not schedule.is_due(Report(in_flight=14, service_time=0.12), 1.0)


@pytest.mark.parametrize(
    "change",
    [
        {"in_flight": 15},
        {"in_flight": 5},
        {"limit": 63},
        {"service_time": 0.13},
        {"leaving": True},
        {"version": "2"},
        {"revision": 8},
    ],
)
def test_significant_changes_are_due_immediately(schedule, change):
    assert schedule.is_due(replace(Report(), **change), 0.1)


def test_every_call_is_significant_at_a_small_limit():
    schedule = ReportSchedule()
    schedule.reported(Report(in_flight=0, limit=2), 0.0)
    assert schedule.is_due(Report(in_flight=1, limit=2), 0.1)
