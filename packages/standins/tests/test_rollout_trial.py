"""Simulated rollouts; `make trial-rollouts` runs the long set."""

import pytest

from wharf_coordination.rollout import Participant
from wharf_standins.rollout_trial import ENVIRONMENTS, KINDS, Trial

OVER_DEADLINE = (0.4, 1.1)
SEED = 1


@pytest.mark.parametrize("kind", KINDS)
def test_rollout_ends_with_expected_outcome(kind):
    result = Trial(KINDS[kind], SEED, kind).run()
    expected = "finished" if kind == "good" else "taken back"
    assert result.outcome == expected, result
    assert result.new_calls_late == 0
    if kind != "good":
        assert result.share_before_veto <= 0.05


@pytest.mark.parametrize("kind", ["good", "bad-on-route"])
def test_rollout_is_taken_back_when_store_is_down_at_deadline(kind):
    trial = Trial(KINDS[kind], SEED, kind, duration=30.0, store_down=OVER_DEADLINE)
    result = trial.run()
    assert result.outcome == "taken back"
    assert result.new_calls_late == 0


def test_lost_veto_shows_in_late_calls(monkeypatch):
    monkeypatch.setattr(Participant, "veto", lambda self, reason: None)
    trial = Trial(KINDS["fails-at-once"], SEED, store_down=(0.1, 1.1))
    assert trial.run().new_calls_late > 0


@pytest.mark.parametrize("seed", [2, 7, 9])
def test_good_version_finishes_without_calls_on_a_rare_route_at_first(seed):
    """No call came on the rarest route for half of the time, and then none did."""
    assert Trial(KINDS["good"], seed, "good", 36.0, 90.0).run().outcome == "finished"


@pytest.mark.parametrize("environment", ENVIRONMENTS)
@pytest.mark.parametrize("seed", range(1, 4))
def test_good_version_finishes_in_each_environment(environment, seed):
    trial = Trial(
        KINDS["good"], seed, "good", 36.0, 90.0, environment=ENVIRONMENTS[environment]
    )
    assert trial.run().outcome == "finished"
