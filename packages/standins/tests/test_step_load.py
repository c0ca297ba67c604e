"""Load patterns on upstreams that run steps in batches, in virtual time.

Each test names the pattern that it answers; bounds come from the users' pages: a
quarter of the requests is served under any load, and what is refused is refused
within an eighth of its time or was still worth waiting for.
"""

import cProfile
import pstats
from dataclasses import replace

import pytest

from wharf_standins.steps.pattern import PATTERNS
from wharf_standins.steps.trial import run_trial

SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", ["steady", "burst-of-drafts", "many-upstreams"])
def test_pattern_within_capacity_is_served_on_time(name, seed):
    outcome = run_trial(PATTERNS[name], seed)

    assert outcome.worth >= 0.9
    assert sum(part.refused for part in outcome.by_class.values()) == 0


def _python_calls_a_request(name):
    profile = cProfile.Profile()
    pattern = replace(PATTERNS[name], seconds=8.0, bursts=())
    outcome = profile.runcall(run_trial, pattern, 1)
    asked = sum(part.asked for part in outcome.by_class.values())
    return pstats.Stats(profile).total_calls / asked


def test_a_request_costs_no_more_processor_time_among_many_upstreams():
    """One gateway prepares for a pool, with half a core: `many-upstreams` has three
    times as many upstreams and six times the load of `steady`."""
    few, many = map(_python_calls_a_request, ("steady", "many-upstreams"))

    assert many <= 2 * few


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", ["burst-of-all", "lost-fetch"])
def test_pattern_beyond_capacity_for_seconds_loses_few(name, seed):
    outcome = run_trial(PATTERNS[name], seed)

    asked = sum(part.asked for part in outcome.by_class.values())
    refused = sum(part.refused for part in outcome.by_class.values())
    assert refused <= 0.1 * asked
    assert outcome.worth >= 0.7


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", list(PATTERNS))
def test_pattern_starves_no_class(name, seed):
    outcome = run_trial(PATTERNS[name], seed)

    for part in outcome.by_class.values():
        assert part.on_time + part.late >= 0.25 * part.asked


def test_upstreams_rarely_lack_room_for_results():
    outcome = run_trial(PATTERNS["overload"], 1)

    assert outcome.without_room <= 0.01 * sum(outcome.pieces.values())
