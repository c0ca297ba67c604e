"""Trials of rollouts: simulated, or with real daemons on loopback."""

from wharf_standins.rollout_trial.environment import ENVIRONMENTS, Environment
from wharf_standins.rollout_trial.trial import Trial
from wharf_standins.rollout_trial.trial_result import TrialResult
from wharf_standins.rollout_trial.version_kind import KINDS

__all__ = ["ENVIRONMENTS", "KINDS", "Environment", "Trial", "TrialResult"]
